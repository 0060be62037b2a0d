package site

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"

	"gotest.tools/v3/assert"
)

// refusingWorkers refuse renewals at once and count them.
type refusingWorkers struct {
	rock.Workers
	renewals atomic.Int64
}

func (w *refusingWorkers) RenewLease(context.Context, rock.Worker, rock.RenewOrder) (rock.Report, error) {
	w.renewals.Add(1)
	return rock.Report{Refusal: rock.RefusedBusy}, nil
}

// TestRefusedRenewalsArePaced guards against a worker that is asked without a pause while
// it refuses.
func TestRefusedRenewalsArePaced(t *testing.T) {
	t.Parallel()
	o, _, _ := waitsFixture(time.Now())
	workers := &refusingWorkers{}
	o.site.settings = Settings{Clock: time.Now, Workers: workers}
	o.events = make(chan func(time.Time), maxEvents)
	o.state.SetWorkers(time.Now(), []rock.Worker{{ID: "w", Address: "10.0.0.1:80", Pool: "a", State: rock.WorkerReady}})
	assert.Equal(t, len(o.state.Workers()), 1)
	ctx, cancel := context.WithTimeout(t.Context(), 3*leaseOrderRetryDelay)
	defer cancel()
	g := group.New(ctx)
	g.Go("poll", func(ctx context.Context) error {
		o.pollWorker(ctx, "w")
		return nil
	})
	for ctx.Err() == nil {
		select {
		case f := <-o.events:
			f(time.Now())
		case <-ctx.Done():
		}
	}
	g.Stop()
	assert.NilError(t, g.Wait())
	n := workers.renewals.Load()
	assert.Assert(t, n > 0 && n <= 4, "%d renewals", n)
}
