package duty_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/group"
	"bramleyrock/core/record"
	"bramleyrock/io/duty"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/fakes/fleet"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// upToDateRoster reports one entry of zone a that has the latest configuration in
// force and nothing in flight on closed hosts.
type upToDateRoster struct{ book *fleet.Book }

func (r upToDateRoster) Statuses(time.Time) []rock.EntryStatus {
	f, _ := r.book.Fleet()
	closed := map[string]int{}
	for _, h := range f.PoolHosts("tins", "a") {
		if !h.Open() {
			closed[h.Name()] = 0
		}
	}
	m := rock.NewMember("e1", "a", "10.0.0.1:7000", "e1-1")
	at := time.Now().Add(-time.Minute)
	return []rock.EntryStatus{rock.NewEntryStatus(m, rock.EntryRunning, f.Revision(), at, closed)}
}

// lagFreeList dates the platform's host list one minute ahead, so that a move need
// not wait until the list is newer than the closing of the host.
type lagFreeList struct{ rock.HostList }

func (l lagFreeList) List(ctx context.Context) ([]rock.HostStatus, error) {
	hosts, err := l.HostList.List(ctx)
	for i, h := range hosts {
		hosts[i] = rock.NewHostStatus(h.Name(), h.State(), h.Leases(), h.Boots(), h.AsOf().Add(time.Minute))
	}
	return hosts, err
}

// newMoveFixture returns a platform with four hosts in pool tins and a pending move
// of one of them. The budget of the pool is minAvailable hosts.
func newMoveFixture(minAvailable int) (*depot.Depot, *fleet.Book, *budget.Reviewer) {
	d := depot.New(depot.Settings{Seed: 1})
	reviewer := budget.New(budget.Settings{})
	records := []rock.Record{
		newRecord(rock.KindBudget, "tins", fmt.Sprintf(`{"pool":"tins","min_available":%d}`, minAvailable)),
		newRecord(rock.KindMove, "m1", `{"host":"h0","from":"tins","to":"lids","state":"wanted"}`),
	}
	for i := range 4 {
		name := fmt.Sprintf("h%d", i)
		d.AddHost(name, "127.0.0.1:9000")
		records = append(records, newHost(name, "a", "a1", "tins"))
	}
	book := fleet.NewBook(reviewer, records...)
	book.Guard(func(t rock.Transaction) error {
		check := rock.Transaction{}
		for _, c := range t.Conditions() {
			check.Require(c.Key(), c.Version())
		}
		return d.Commit(context.Background(), check)
	})
	return d, book, reviewer
}

func newRunner(name string, d *depot.Depot, b *fleet.Book, r *budget.Reviewer) *duty.Runner {
	return duty.New(duty.Settings{
		Name: name, Table: d, Changer: b, Fleet: b, HostList: lagFreeList{d}, Roster: upToDateRoster{b}, Budgets: r,
		Interval: 5 * time.Millisecond,
	})
}

func moveState(b *fleet.Book) record.MoveState {
	f, _ := b.Fleet()
	r, _ := f.Record(rock.NewKey(rock.KindMove, "m1"))
	m, _ := record.MoveSpecOf(r)
	return m.State
}

// TestRunnersMoveAHost checks that a move completes when two entries compete for the
// duty.
func TestRunnersMoveAHost(t *testing.T) {
	d, b, r := newMoveFixture(3)
	g := group.New(context.Background())
	for _, name := range []string{"e1", "e2"} {
		g.Go(name, newRunner(name, d, b, r).Run)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s := moveState(b); s != record.MoveDone {
			return poll.Continue("move is %s", s)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	g.Stop()
	assert.NilError(t, g.Wait())
	f, _ := b.Fleet()
	h, _ := f.Host("h0")
	assert.Equal(t, h.Pool(), "lids")
	assert.Assert(t, h.Open())
}

// TestStatusSaysWhatAMoveWaitsFor checks that the status of a move that a budget
// blocks gives the refusal as the reason.
func TestStatusSaysWhatAMoveWaitsFor(t *testing.T) {
	d, b, r := newMoveFixture(4)
	runner := newRunner("e1", d, b, r)
	g := group.New(context.Background())
	g.Go("e1", runner.Run)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, w := range runner.Status(time.Now()) {
			if w.Subject() == "move/m1" {
				assert.Equal(t, w.WaitsFor(), "review host h0: budget_exceeded: "+
					"pool tins would have 3 of 4 hosts available: its budget needs 4")
				return poll.Success()
			}
		}
		return poll.Continue("no reason yet")
	}, poll.WithTimeout(20*time.Second))
	g.Stop()
	assert.NilError(t, g.Wait())
	assert.Equal(t, moveState(b), record.MovePending)
}
