package site

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"
	"bramleyrock/io/logs"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// TestCellIsTakenWhileOtherCallsFail guards against an outage of some parts blocking the
// takeover of cells in other parts. The owner of a cell falls silent while the table
// refuses calls about another cell. Only reads of renewals may count.
func TestCellIsTakenWhileOtherCallsFail(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	cases := map[string]struct {
		readSince time.Duration // since when reads of renewals are answered
		want      bool
	}{
		"renewals have been read for long":   {-10 * time.Second, true},
		"renewals have just become readable": {2500 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			clock := start
			s := New(Settings{Clock: func() time.Time { return clock }, CPUShare: 1, Log: logs.Discard(), Scope: tally.NoopScope})
			s.view.setConfig(works.Config{Pools: []works.Pool{{Name: "a"}}}, 1)
			s.view.withCell("a", func(v *cellView) {
				for home := range tenure.HomeCount {
					v.challenger.ObserveOwner(start, home, tenure.Owner{Name: "other", Session: "1"}, 1)
					v.challenger.ObserveRenewal(start, home, tenure.Record{}, 1)
					v.challenger.ObserveRead(start.Add(tenure.LeaseDuration), home)
				}
			})
			clock = start.Add(c.readSince)
			s.recordRenewalRead(nil)
			clock = start.Add(tenure.TakeoverTimeout + time.Second)
			s.recordAnswer(errors.New("the part is down"))
			assert.Equal(t, s.shouldAcquire("a"), c.want)
		})
	}
}

// failingStore answers no calls while it is down, and none but reads that find no rows
// otherwise.
type failingStore struct {
	rock.Store
	down atomic.Bool
	// slow is how long a read takes.
	slow time.Duration
}

func (s *failingStore) answer(op string) error {
	if s.down.Load() {
		return rock.Fail(op, "part", rock.Unavailable, rock.NotRun)
	}
	return nil
}

func (s *failingStore) Apply(context.Context, rock.Transaction) (uint64, error) {
	return 0, s.answer("write")
}

func (s *failingStore) List(ctx context.Context, _, _, _, _ string) (rock.Changes, error) {
	select {
	case <-time.After(s.slow):
		return rock.Changes{Version: 1}, s.answer("read")
	case <-ctx.Done():
		return rock.Changes{}, ctx.Err()
	}
}

// TestOutageDoesNotLetSlowEntriesTakeCells guards against a cell that goes to an entry with
// little CPU after an outage in which nobody could take it.
func TestOutageDoesNotLetSlowEntriesTakeCells(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for name, failed := range map[string]bool{"its takeover failed": true, "it has not tried": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var clock atomic.Pointer[time.Time]
			set := func(d time.Duration) { now := start.Add(d); clock.Store(&now) }
			set(0)
			store := &failingStore{}
			s := New(Settings{
				Clock: func() time.Time { return *clock.Load() }, CPUShare: sufficientCPUShare / 2, Log: logs.Discard(), Scope: tally.NoopScope,
				Store: store,
			})
			s.view.setConfig(works.Config{Pools: []works.Pool{{Name: "a"}}}, 1)
			s.view.withCell("a", func(v *cellView) {
				for home := range tenure.HomeCount {
					v.challenger.ObserveOwner(start, home, tenure.Owner{Name: "other", Session: "1"}, 1)
				}
			})
			s.recordRenewalRead(nil)
			read := func() {
				g := group.New(t.Context())
				s.readUnreadHomes(g, "a")
				assert.NilError(t, g.Wait())
			}
			if failed {
				set(6 * time.Second)
				read()
				set(10 * time.Second)
				assert.Assert(t, s.shouldAcquire("a"))
			}
			store.down.Store(true)
			if failed {
				s.acquire(t.Context(), group.New(t.Context()), "a")
			}

			outageEnd := 20 * time.Second
			set(outageEnd)
			store.down.Store(false)
			read()
			set(outageEnd + lowCPUDelay - time.Millisecond)
			assert.Assert(t, !s.shouldAcquire("a"), "entries with more CPU had no time to take the cell")
			set(outageEnd + lowCPUDelay + takeoverJitter)
			assert.Assert(t, s.shouldAcquire("a"))
		})
	}
}

// TestHomesAreReadWhileTheTableIsSlow guards against homes that are never read because the
// entry does not wait as long as the table takes.
func TestHomesAreReadWhileTheTableIsSlow(t *testing.T) {
	t.Parallel()
	s := New(Settings{Clock: time.Now, CPUShare: 1, Log: logs.Discard(), Scope: tally.NoopScope, Store: &failingStore{slow: 700 * time.Millisecond}})
	s.view.setConfig(works.Config{Pools: []works.Pool{{Name: "a"}}}, 1)
	g := group.New(t.Context())
	s.readUnreadHomes(g, "a")
	assert.NilError(t, g.Wait())
	s.view.withCell("a", func(v *cellView) { assert.Equal(t, len(v.challenger.HomesToRead(time.Now(), s.self)), 0) })
}
