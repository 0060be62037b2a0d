package route_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/route"
	"bramleyrock/io/targ"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// serveWorkers serves the workers of b over HTTP and sets the addresses of its
// hosts. It returns a client that runs tasks on them.
func serveWorkers(t *testing.T, b *fixture) *targ.Client {
	t.Helper()
	for i, h := range b.hosts {
		server := httptest.NewServer(b.work.Worker(h.Name).Handler())
		t.Cleanup(server.Close)
		b.hosts[i].Address = strings.TrimPrefix(server.URL, "http://")
	}
	c := targ.New(targ.Settings{})
	t.Cleanup(c.Close)
	return c
}

// TestCancellationsLeaveNoSlotTaken cancels 10,000 requests, in waves of 500,
// while they are queued or while their task of one minute runs. A cancellation
// that coincides with a grant could leave its slot or lease in use.
func TestCancellationsLeaveNoSlotTaken(t *testing.T) {
	t.Parallel()
	const waves, size = 20, 500
	target := &deferredTarget{}
	b := newFixture(t, 2, func(s *route.Settings) { s.Target = target })
	target.Target = serveWorkers(t, b)
	b.applyConfiguration(2)
	var refused atomic.Int64
	for wave := range waves {
		ctx, cancel := context.WithCancel(context.Background())
		callers := group.New(context.Background())
		for i := range size {
			callers.Go("call", func(context.Context) error {
				_, err := b.engine.Do(ctx, request(fmt.Sprintf("w%dr%d", wave, i), false, time.Hour, 60_000))
				if rock.ReasonOf(err) == rock.Overloaded {
					refused.Add(1)
					return nil
				}
				if rock.ReasonOf(err) != rock.Cancelled {
					return fmt.Errorf("wave %d caller %d: %w", wave, i, errors.Join(err, errors.New("want a cancellation")))
				}
				return nil
			})
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			load := b.engine.Loads(time.Now())[0]
			if load.Queued() < size/2 {
				return poll.Continue("%d requests are queued", load.Queued())
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
		cancel()
		assert.NilError(t, callers.Wait())
	}
	load := b.engine.Loads(time.Now())[0]
	assert.Equal(t, load.InFlight(), 0)
	assert.Equal(t, load.Queued(), 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, h := range b.hosts {
			if n := b.work.Worker(h.Name).Leases(); n > 0 {
				return poll.Continue("%s holds %d leases", h.Name, n)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	_, err := b.engine.Do(context.Background(), request("after", false, 10*time.Second, 1))
	assert.NilError(t, err)
	t.Logf("%d of %d calls were refused at admission", refused.Load(), waves*size)
}

// deferredTarget is a target whose implementation is set after the engine was
// created.
type deferredTarget struct{ rock.Target }
