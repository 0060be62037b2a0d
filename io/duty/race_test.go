package duty_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/feed"
	"bramleyrock/core/group"
	"bramleyrock/core/move"
	"bramleyrock/core/record"
	"bramleyrock/core/wave"
	"bramleyrock/io/books"
	"bramleyrock/io/duty"
	"bramleyrock/io/fakes/crew"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// racingEntry is an entry with its own configuration store and duties on a shared
// platform.
type racingEntry struct {
	books  *books.Books
	runner *duty.Runner
}

func newRacingEntry(name string, d *depot.Depot) racingEntry {
	reviewer := budget.New(budget.Settings{})
	b := books.New(books.Settings{
		Table: d, Objects: d, Now: time.Now, Poll: 20 * time.Millisecond,
		Reviewer: rock.Reviewers{move.Reviewer{}, wave.Reviewer{}, duty.NewRefreshingReviewer(reviewer, d)},
	})
	return racingEntry{b, duty.New(duty.Settings{
		Name: name, Table: d, Changer: b, Fleet: b, HostList: d, Roster: crew.NewRegistry(), Budgets: reviewer,
		Interval: 20 * time.Millisecond,
	})}
}

// TestOneWinsTheLastHeadroom guards against a budget that is violated by concurrent
// changes. Operators at three entries, a move and a wave each try to close the
// only host that a pool can spare, and exactly one of them may succeed.
func TestOneWinsTheLastHeadroom(t *testing.T) {
	d := depot.New(depot.Settings{Seed: 1, WritesPerSecond: -1, ReadsPerSecond: -1})
	g := group.New(context.Background())
	var entries []racingEntry
	for _, name := range []string{"e1", "e2", "e3"} {
		r := newRacingEntry(name, d)
		entries = append(entries, r)
		g.Go("follow "+name, r.books.Follow)
		g.Go("duties "+name, r.runner.Run)
	}
	applyRaceFleet(t, d, entries)
	var won, answered atomic.Int64
	const operators = 6
	for i := range operators {
		g.Go(fmt.Sprint("operator ", i), func(ctx context.Context) error {
			b := entries[i%len(entries)].books
			answered.Add(1)
			if _, err := b.Change(ctx, time.Now(), closeHostProposal(b, i)); err == nil {
				won.Add(1)
			}
			return nil
		})
	}
	closed := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		closed = closedHosts(entries[0].books)
		if answered.Load() < operators || closed == 0 {
			return poll.Continue("%d operators answered, %d hosts closed", answered.Load(), closed)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	g.Stop()
	assert.NilError(t, g.Wait())
	assert.Assert(t, won.Load() <= 1)
	assert.Equal(t, maxClosed(t, entries[0].books), 1)
}

// applyRaceFleet creates a pool of eight hosts whose budget requires seven, a move
// and a wave.
func applyRaceFleet(t *testing.T, d *depot.Depot, entries []racingEntry) {
	t.Helper()
	p := rock.Proposal{ID: "fleet", Who: "operator", Why: "test", Records: []rock.Record{
		newRecord(rock.KindOrganisation, "alpha", `{"quota":0,"tokens":[]}`),
		newRecord(rock.KindPool, "tins", `{"organisation":"alpha","spare":false}`),
		newRecord(rock.KindPool, "lids", `{"organisation":"alpha","spare":false}`),
		newRecord(rock.KindBudget, "tins", `{"pool":"tins","min_available":7}`),
		newMove("m1", "h7", "tins", "lids"),
		newRecord(rock.KindWave, "w1", `{"pools":["tins"],"action":"reboot","state":"running","max_parallel":4}`),
	}}
	for i := range 8 {
		name := fmt.Sprintf("h%d", i)
		d.AddHost(name, "")
		p.Records = append(p.Records, newHost(name, "a", "a1", "tins"))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := entries[0].books.Change(context.Background(), time.Now(), p); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// closeHostProposal returns an operator's proposal to close host number i.
func closeHostProposal(b *books.Books, i int) rock.Proposal {
	r, _ := b.Config().Record(rock.NewKey(rock.KindHost, fmt.Sprintf("h%d", i)))
	h, err := record.As[record.Host](r)
	if err != nil {
		return rock.Proposal{}
	}
	r, err = record.Encode(r.Key(), r.Version(), h.With(func(s *record.HostSpec) { s.Open = false }))
	if err != nil {
		return rock.Proposal{}
	}
	return rock.Proposal{ID: fmt.Sprint("close-", i), Who: "operator", Why: "test", Records: []rock.Record{r}}
}

func closedHosts(b *books.Books) int {
	return countClosed(b.Config())
}

func countClosed(f rock.Fleet) int {
	n := 0
	for _, h := range f.PoolHosts("tins", "") {
		if !h.Open() {
			n++
		}
	}
	return n
}

// maxClosed replays the feed and returns the largest number of hosts that were
// closed at any revision.
func maxClosed(t *testing.T, b *books.Books) int {
	t.Helper()
	changes, err := b.Changes(0, 10000)
	assert.NilError(t, err)
	config, most := feed.Settings{}.Empty(), 0
	for _, c := range changes {
		config, err = config.Apply(c)
		assert.NilError(t, err)
		most = max(most, countClosed(config))
	}
	return most
}
