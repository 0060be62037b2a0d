package roster_test

import (
	"context"
	"sync"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/roster"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// newRoster returns a roster of the named entry's incarnation.
func newRoster(d *depot.Depot, name, incarnation string, change func(*roster.Settings)) *roster.Roster {
	s := roster.Settings{
		Self:          rock.NewMember(name, "a", "127.0.0.1:1", incarnation),
		Table:         d,
		CheckInterval: 5 * time.Millisecond,
		ReadInterval:  5 * time.Millisecond,
	}
	if change != nil {
		change(&s)
	}
	return roster.New(s)
}

// run runs the roster in the background until the test ends.
func run(t *testing.T, r *roster.Roster) {
	t.Helper()
	g := group.New(context.Background())
	g.Go("roster", r.Run)
	t.Cleanup(func() { g.Stop(); _ = g.Wait() })
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

func statusOf(t *testing.T, r *roster.Roster, name string) (rock.EntryStatus, bool) {
	t.Helper()
	all, err := r.Statuses(context.Background())
	assert.NilError(t, err)
	for _, s := range all {
		if s.Member().Name() == name {
			return s, true
		}
	}
	return rock.EntryStatus{}, false
}

// TestReportIsSeenByOthers checks that another entry reads the first report and
// each changed one.
func TestReportIsSeenByOthers(t *testing.T) {
	d := depot.New(depot.Settings{WritesPerSecond: -1, ReadsPerSecond: -1})
	var mu sync.Mutex
	report := roster.Report{Revision: 3, InFlight: map[string]int{"h1": 2}}
	first := newRoster(d, "e1", "1", func(s *roster.Settings) {
		s.Report = func() roster.Report {
			mu.Lock()
			defer mu.Unlock()
			return report
		}
	})
	learned := make(chan []rock.EntryStatus, 1000)
	second := newRoster(d, "e2", "1", func(s *roster.Settings) {
		s.OnStatuses = func(all []rock.EntryStatus) {
			select {
			case learned <- all:
			default:
			}
		}
	})
	run(t, first)
	run(t, second)
	eventually(t, "first status", func() bool { s, ok := statusOf(t, second, "e1"); return ok && s.Revision() == 3 })
	assert.Assert(t, first.Registered())

	mu.Lock()
	report = roster.Report{Revision: 4, InFlight: map[string]int{"h1": 0}}
	mu.Unlock()
	eventually(t, "changed status", func() bool {
		s, _ := statusOf(t, second, "e1")
		n, known := s.InFlight("h1")
		return s.Revision() == 4 && known && n == 0
	})
	eventually(t, "learning of both", func() bool { return len(<-learned) == 2 })
}

// TestUnchangedReportIsSeldomWritten guards against an unchanged report that is
// written at every check.
func TestUnchangedReportIsSeldomWritten(t *testing.T) {
	d := depot.New(depot.Settings{WritesPerSecond: -1, ReadsPerSecond: -1})
	r := newRoster(d, "e1", "1", nil)
	run(t, r)
	eventually(t, "many readings", func() bool { return d.Stats().Reads > 20 })
	assert.Equal(t, d.Stats().Writes, uint64(1))
}

// TestNewerIncarnationFencesTheOlder guards against an old process that overwrites
// the row of its successor of the same name. Its first write fails on the version,
// and the next one finds the newer incarnation.
func TestNewerIncarnationFencesTheOlder(t *testing.T) {
	d := depot.New(depot.Settings{WritesPerSecond: -1, ReadsPerSecond: -1})
	fenced := make(chan rock.EntryStatus, 2)
	older := newRoster(d, "e1", "1", func(s *roster.Settings) { s.OnFenced = func(by rock.EntryStatus) { fenced <- by } })
	assert.NilError(t, older.Announce(context.Background(), rock.EntryRunning))
	newer := newRoster(d, "e1", "2", nil)
	assert.NilError(t, newer.Announce(context.Background(), rock.EntryRunning))

	err := older.Announce(context.Background(), rock.EntryGone)
	assert.Equal(t, rock.ReasonOf(err), rock.Conflict, "first write on the old version")
	err = older.Run(context.Background())
	assert.Equal(t, rock.ReasonOf(err), rock.Fenced)
	by := <-fenced
	assert.Equal(t, by.Member().Incarnation(), "2")
	s, ok := statusOf(t, newer, "e1")
	assert.Assert(t, ok)
	assert.Equal(t, s.Member().Incarnation(), "2")
	assert.Equal(t, s.State(), rock.EntryRunning)
}

// TestLostAnswerOfAWrite checks that after a write whose answer was lost the next
// write succeeds, although the version of the row has changed.
func TestLostAnswerOfAWrite(t *testing.T) {
	d := depot.New(depot.Settings{WritesPerSecond: -1, ReadsPerSecond: -1})
	d.SetFaults(depot.Faults{LoseAnswers: 1})
	r := newRoster(d, "e1", "1", nil)
	err := r.Announce(context.Background(), rock.EntryRunning)
	assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
	assert.NilError(t, r.Announce(context.Background(), rock.EntryLeaving))
	s, _ := statusOf(t, r, "e1")
	assert.Equal(t, s.State(), rock.EntryLeaving)
}

// TestRegistersAfterOutage checks that an entry that starts while the platform is down
// registers when the platform is back.
func TestRegistersAfterOutage(t *testing.T) {
	d := depot.New(depot.Settings{WritesPerSecond: -1, ReadsPerSecond: -1})
	d.SetFaults(depot.Faults{Down: true})
	r := newRoster(d, "e1", "1", nil)
	run(t, r)
	assert.Assert(t, !r.Registered())
	d.SetFaults(depot.Faults{})
	eventually(t, "registration", r.Registered)
}

// TestOnlyRowsOfStoppedEntriesAreRemoved guards against removing the row of an entry
// that may be paused: of two rows that are 48 h old, only the gone one is removed.
func TestOnlyRowsOfStoppedEntriesAreRemoved(t *testing.T) {
	d := depot.New(depot.Settings{WritesPerSecond: -1, ReadsPerSecond: -1})
	longAgo := func(s *roster.Settings) {
		s.Now = func() time.Time { return time.Now().Add(-48 * time.Hour) }
	}
	stopped, silent := newRoster(d, "e1", "1", longAgo), newRoster(d, "e2", "1", longAgo)
	assert.NilError(t, stopped.Announce(context.Background(), rock.EntryGone))
	assert.NilError(t, silent.Announce(context.Background(), rock.EntryRunning))
	r := newRoster(d, "e3", "1", nil)
	run(t, r)
	eventually(t, "removal", func() bool { _, found := statusOf(t, r, "e1"); return !found })
	_, found := statusOf(t, r, "e2")
	assert.Assert(t, found, "a silent entry's row was removed")
}
