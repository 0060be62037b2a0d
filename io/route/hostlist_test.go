package route_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/route"

	"gotest.tools/v3/assert"
)

// leavingLimit is the time after which a leaving target gets no new work.
const leavingLimit = 5 * time.Second

// lastStart returns the last time at which a host was started on a request.
func lastStart(w *work.Worker) time.Time {
	runs := w.Runs()
	if len(runs) == 0 {
		return time.Time{}
	}
	return runs[len(runs)-1].Start
}

// callUntil sends requests until no start was seen on the host for a while, or
// the limit has passed. It returns how long after since the last start was.
func callUntil(t *testing.T, b *bench, host string, since time.Time) time.Duration {
	t.Helper()
	for i := 0; time.Since(since) < leavingLimit+time.Second; i++ {
		_, err := b.engine.Do(context.Background(), request(fmt.Sprint("r", i), false, 10*time.Second, 1))
		assert.NilError(t, err)
		if last := lastStart(b.work.Worker(host)); time.Since(since) > 2*time.Second && time.Since(last) > time.Second {
			break
		}
	}
	return lastStart(b.work.Worker(host)).Sub(since)
}

func TestLeavingTargetIsLeftAlone(t *testing.T) {
	cases := map[string]struct {
		leave func(b *bench, d *depot.Depot) error
		list  bool
		alone bool
	}{
		"listed":                {func(_ *bench, d *depot.Depot) error { return d.Drain(context.Background(), "h0") }, true, true},
		"listed, list not read": {func(_ *bench, d *depot.Depot) error { return d.Drain(context.Background(), "h0") }, false, false},
		"committed": {func(b *bench, _ *depot.Depot) error {
			b.hosts[0].Open = false
			b.apply(2)
			return nil
		}, false, true},
		"target refuses": {func(b *bench, _ *depot.Depot) error {
			// A newer generation of another pool has reached the target.
			host := rock.NewHost(b.hosts[0])
			_, err := b.work.Run(context.Background(), host, rock.NewTask("t", "lids", 9, time.Second, time.Time{}, nil))
			return err
		}, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := depot.New(depot.Settings{HostListLag: 100 * time.Millisecond})
			d.AddHost("h0", "127.0.0.1:1")
			d.AddHost("h1", "127.0.0.1:2")
			b := newBench(t, 2, func(s *route.Settings) {
				if c.list {
					s.HostList = d
					s.Limits.HostListInterval = 200 * time.Millisecond
				}
			})
			_, err := b.engine.Do(context.Background(), request("first", false, 10*time.Second, 1))
			assert.NilError(t, err)
			since := time.Now()
			assert.NilError(t, c.leave(b, d))
			got := callUntil(t, b, "h0", since)
			t.Logf("last start %v after the host began to leave", got)
			assert.Equal(t, got < leavingLimit, c.alone)
		})
	}
}
