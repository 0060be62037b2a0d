package route

import (
	"context"
	"encoding/json"

	rock "bramleyrock"
)

// Drain refuses new requests and waits until all accepted ones have ended or
// ctx ends. Then it stores the closing record, which lists the idempotency keys
// that were claimed here. It returns the number of unfinished requests.
func (e *Engine) Drain(ctx context.Context) int {
	e.mu.Lock()
	if !e.draining {
		e.draining = true
		if e.active == 0 {
			close(e.idle)
		}
	}
	e.mu.Unlock()
	e.keys.close()
	select {
	case <-e.idle:
	case <-ctx.Done():
	}
	if err := e.storeClosingRecord(ctx); err != nil {
		e.settings.Log.WithError(err).Warn("Storing the record of the claimed idempotency keys failed.")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

// storeClosingRecord writes the record of the keys claimed here to the object
// store, where other entries read it.
func (e *Engine) storeClosingRecord(ctx context.Context) error {
	if e.settings.ObjectStore == nil {
		return nil
	}
	m := e.settings.Member
	data, err := json.Marshal(e.keys.closingRecord(e.settings.Now(), m.Incarnation()))
	if err != nil {
		return rock.Fail("state", "idempotency keys", rock.Internal, rock.NotRun).Because(err)
	}
	return e.settings.ObjectStore.Put(ctx, closingObjectName(m.Name()), data)
}
