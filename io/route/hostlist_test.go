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

// leavingLimit is the time after which a leaving host must get no new tasks.
const leavingLimit = 5 * time.Second

// lastStart returns when the worker last started a task, or the zero time.
func lastStart(w *work.Worker) time.Time {
	runs := w.Runs()
	if len(runs) == 0 {
		return time.Time{}
	}
	return runs[len(runs)-1].Start
}

// sendUntilQuiet sends requests until 2 s have passed since the given time and
// the host has started no task for 1 s, or until 1 s after leavingLimit. It
// returns the time from since to the host's last start.
func sendUntilQuiet(t *testing.T, b *fixture, host string, since time.Time) time.Duration {
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

// TestLeavingHostGetsNoNewWork checks each way in which an entry learns that a
// host is leaving. If the host list is not read, the host keeps getting tasks.
func TestLeavingHostGetsNoNewWork(t *testing.T) {
	cases := map[string]struct {
		leave func(b *fixture, d *depot.Depot) error
		list  bool
		ends  bool // whether starts on the host end within leavingLimit
	}{
		"listed":                {func(_ *fixture, d *depot.Depot) error { return d.Drain(context.Background(), "h0") }, true, true},
		"listed, list not read": {func(_ *fixture, d *depot.Depot) error { return d.Drain(context.Background(), "h0") }, false, false},
		"committed": {func(b *fixture, _ *depot.Depot) error {
			b.hosts[0].Open = false
			b.applyConfiguration(2)
			return nil
		}, false, true},
		"target refuses": {func(b *fixture, _ *depot.Depot) error {
			// The target has accepted a task of another pool with a newer
			// generation, so it refuses tasks of generation 1.
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
			b := newFixture(t, 2, func(s *route.Settings) {
				if c.list {
					s.HostList = d
					s.Limits.HostListInterval = 200 * time.Millisecond
				}
			})
			_, err := b.engine.Do(context.Background(), request("first", false, 10*time.Second, 1))
			assert.NilError(t, err)
			since := time.Now()
			assert.NilError(t, c.leave(b, d))
			got := sendUntilQuiet(t, b, "h0", since)
			t.Logf("last start %v after the host began to leave", got)
			assert.Equal(t, got < leavingLimit, c.ends)
		})
	}
}
