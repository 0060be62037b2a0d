package site

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"
	"bramleyrock/io/logs"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// silentStore is a store that counts calls and answers none before the caller gives up.
type silentStore struct {
	rock.Store
	calls atomic.Int64
}

func (d *silentStore) Apply(ctx context.Context, _ rock.Transaction) (uint64, error) {
	d.calls.Add(1)
	<-ctx.Done()
	return 0, rock.Fail("apply", "table", rock.OutcomeUnknown, rock.MayHaveRun).Because(ctx.Err())
}

func (d *silentStore) List(ctx context.Context, _, _, _, _ string) (rock.Changes, error) {
	d.calls.Add(1)
	<-ctx.Done()
	return rock.Changes{}, rock.Fail("list", "table", rock.OutcomeUnknown, rock.MayHaveRun).Because(ctx.Err())
}

// TestCallersAreRefusedWhileTheTableIsSilent guards against callers that wait until their
// deadline without learning whether their job was accepted. Calls arrive while the table
// has been silent for some time. They must be refused at once, since another entry may
// reach the table.
func TestCallersAreRefusedWhileTheTableIsSilent(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		silent  time.Duration
		failed  bool // the last call failed
		refused bool
		// retryAfter must be long enough that a few retries outlast the outage.
		retryAfter time.Duration
	}{
		"answers":                       {0, false, false, 0},
		"has just failed":               {100 * time.Millisecond, true, false, 0},
		"has failed for a while":        {500 * time.Millisecond, true, true, time.Second},
		"an answer is still expected":   {700 * time.Millisecond, false, false, 0},
		"has not answered for too long": {2 * time.Second, false, true, 2 * time.Second},
		"is down":                       {time.Minute, true, true, 3 * time.Second},
	}
	calls := map[string]func(ctx context.Context, s *Site) error{
		"submit": func(ctx context.Context, s *Site) error {
			return s.Submit(ctx, works.Queue{Name: "q", Pool: "a"}, "0123456789abcdef", works.Spec{Steps: []works.Step{{Count: 1}}})
		},
		"state": func(ctx context.Context, s *Site) error {
			_, err := s.State(ctx, works.Queue{Name: "q", Pool: "a"}, "0123456789abcdef")
			return err
		},
	}
	for kind, call := range calls {
		for name, c := range cases {
			t.Run(kind+", "+name, func(t *testing.T) {
				t.Parallel()
				clock := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
				store := &silentStore{}
				s := New(Settings{Clock: func() time.Time { return clock }, Store: store, Log: logs.Discard(), Scope: tally.NoopScope})
				s.view.recordAnswer(clock.Add(-c.silent), true)
				if c.failed {
					s.view.recordAnswer(clock, false)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
				defer cancel()
				err := call(ctx, s)
				s.work.Stop()
				assert.NilError(t, s.work.Wait()) // the batcher has made its call by then
				assert.Assert(t, err != nil)
				assert.Equal(t, store.calls.Load() == 0, c.refused, "%d calls, %v", store.calls.Load(), err)
				if c.refused {
					assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
					assert.Equal(t, rock.ReasonOf(err), rock.Unavailable)
					var f *rock.Failure
					assert.Assert(t, errors.As(err, &f))
					assert.Equal(t, f.RetryAfter(), c.retryAfter)
				}
			})
		}
	}
}
