package route

import (
	"context"
	"encoding/json"

	rock "bramleyrock"
)

// Drain refuses new requests and waits for those taken, until ctx ends. Then
// it states which idempotency keys were claimed here. It returns how many
// requests are left.
func (e *Engine) Drain(ctx context.Context) int {
	e.mu.Lock()
	if !e.leaving {
		e.leaving = true
		if e.active == 0 {
			close(e.idle)
		}
	}
	e.mu.Unlock()
	e.ledger.close()
	select {
	case <-e.idle:
	case <-ctx.Done():
	}
	if err := e.stateClosing(ctx); err != nil {
		e.settings.Log.WithError(err).Warn("The claimed idempotency keys could not be stated.")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

// stateClosing puts the statement of the keys claimed here where other entries
// find it.
func (e *Engine) stateClosing(ctx context.Context) error {
	if e.settings.ObjectStore == nil {
		return nil
	}
	m := e.settings.Member
	data, err := json.Marshal(e.ledger.closing(e.settings.Now(), m.Incarnation()))
	if err != nil {
		return rock.Fail("state", "idempotency keys", rock.Internal, rock.NotRun).Because(err)
	}
	return e.settings.ObjectStore.Put(ctx, closingName(m.Name()), data)
}
