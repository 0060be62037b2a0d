package move_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/drain"
	"bramleyrock/core/move"
	"bramleyrock/core/record"
	"bramleyrock/io/fakes/fleet"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func newRecord(kind rock.Kind, name, body string) rock.Record {
	return rock.NewRecord(rock.NewKey(kind, name), 1, 0, []byte(body))
}

func hostRecord(name, pool string) rock.Record {
	return newRecord(rock.KindHost, name,
		fmt.Sprintf(`{"address":"127.0.0.1:9000","zone":"a","rack":"a1","pool":%q,"generation":1,"slots":8,"open":true,"site":"hall 2"}`, pool))
}

func moveRecord(name, host, from, to string) rock.Record {
	return newRecord(rock.KindMove, name, fmt.Sprintf(`{"host":%q,"from":%q,"to":%q,"state":"wanted"}`, host, from, to))
}

// entryStatus returns a status of a running entry of zone a.
func entryStatus(name string, revision rock.Revision, at time.Time, inFlight map[string]int) rock.EntryStatus {
	m := rock.NewMember(name, "a", "10.0.0."+name[1:]+":7000", name+"-1")
	return rock.NewEntryStatus(m, rock.EntryRunning, revision, at, inFlight)
}

// listedHost returns a platform list with h1 as its only host.
func listedHost(leases int, asOf time.Time) []rock.HostStatus {
	return []rock.HostStatus{rock.NewHostStatus("h1", rock.HostLive, leases, 1, asOf)}
}

// applyStep returns the move's next step, and proposes its change if there is one.
func applyStep(t *testing.T, b *fleet.Book, now time.Time, name string, v drain.View) move.Step {
	t.Helper()
	f, _ := b.Fleet()
	r, ok := f.Record(rock.NewKey(rock.KindMove, name))
	assert.Assert(t, ok)
	s := move.Next(now, f, r, v)
	if s.Pending() {
		_, err := b.Change(context.Background(), now, s.Proposal("e1", rock.Transaction{}))
		assert.NilError(t, err)
	}
	return s
}

func moveState(t *testing.T, b *fleet.Book, name string) record.MoveState {
	t.Helper()
	f, _ := b.Fleet()
	r, _ := f.Record(rock.NewKey(rock.KindMove, name))
	m, err := record.MoveSpecOf(r)
	assert.NilError(t, err)
	return m.State
}

func hostSpec(t *testing.T, b *fleet.Book) record.HostSpec {
	t.Helper()
	f, _ := b.Fleet()
	r, _ := f.Record(rock.NewKey(rock.KindHost, "h1"))
	h, err := record.HostSpecOf(r)
	assert.NilError(t, err)
	return h
}

func TestMoveGoesThroughItsStates(t *testing.T) {
	b := fleet.NewBook(move.Reviewer{}, hostRecord("h1", "tins"), moveRecord("m1", "h1", "tins", "lids"))
	now := start
	applyStep(t, b, now, "m1", drain.View{})
	assert.Equal(t, moveState(t, b, "m1"), record.MoveDraining)
	assert.Assert(t, !hostSpec(t, b).Open)

	now = now.Add(10 * time.Second)
	v := drain.NewView([]rock.EntryStatus{entryStatus("e1", 2, now.Add(-5*time.Second), map[string]int{"h1": 0})}, listedHost(0, now), nil)
	for _, want := range []record.MoveState{record.MoveReleased, record.MoveJoining, record.MoveDone} {
		applyStep(t, b, now, "m1", v)
		assert.Equal(t, moveState(t, b, "m1"), want)
	}
	h := hostSpec(t, b)
	assert.Equal(t, h.Pool, "lids")
	assert.Equal(t, h.Generation, uint64(2))
	assert.Assert(t, h.Open)
	assert.Equal(t, h.ClosedBy, "")
	assert.Assert(t, !applyStep(t, b, now, "m1", v).Pending())
	f, _ := b.Fleet()
	r, _ := f.Record(rock.NewKey(rock.KindHost, "h1"))
	assert.Assert(t, strings.Contains(string(r.Body()), `"hall 2"`), "unknown fields must survive")
}

// A draining move must not be released before every entry of the zone runs the revision
// that closed the host, no entry has work in flight on it, its leases are over, and the
// platform's list that says so is newer than the drain.
func TestReleaseWaits(t *testing.T) {
	at := start.Add(5 * time.Second)
	fresh := start.Add(10 * time.Second)
	zero := map[string]int{"h1": 0}
	cases := map[string]struct {
		entries []rock.EntryStatus
		hosts   []rock.HostStatus
		want    string
	}{
		"old revision": {
			[]rock.EntryStatus{entryStatus("e1", 2, at, zero), entryStatus("e2", 1, at, nil)}, listedHost(0, fresh), "entry e2",
		},
		"work in flight": {
			[]rock.EntryStatus{entryStatus("e1", 2, at, map[string]int{"h1": 3})}, listedHost(0, fresh), "3 tasks in flight",
		},
		"leases": {
			[]rock.EntryStatus{entryStatus("e1", 2, at, zero)}, listedHost(2, fresh), "2 leases running",
		},
		"outdated list": {
			[]rock.EntryStatus{entryStatus("e1", 2, at, zero)}, listedHost(0, at.Add(time.Second)), "newer than the drain",
		},
		"unlisted host": {
			[]rock.EntryStatus{entryStatus("e1", 2, at, zero)}, nil, "to appear in the platform's list",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := fleet.NewBook(move.Reviewer{}, hostRecord("h1", "tins"), moveRecord("m1", "h1", "tins", "lids"))
			applyStep(t, b, start, "m1", drain.View{})
			s := applyStep(t, b, start.Add(time.Hour), "m1", drain.NewView(c.entries, c.hosts, nil))
			assert.Assert(t, !s.Pending())
			assert.Assert(t, s.Since().Equal(start))
			assert.Assert(t, strings.Contains(s.WaitsFor(), c.want), s.WaitsFor())
		})
	}
}

// A second move of a host waits until the first is done. It is then cancelled, since the
// host is no longer in the pool that it should leave.
func TestTwoMovesOfOneHost(t *testing.T) {
	b := fleet.NewBook(move.Reviewer{}, hostRecord("h1", "tins"),
		moveRecord("m1", "h1", "tins", "lids"), moveRecord("m2", "h1", "tins", "caps"))
	applyStep(t, b, start, "m1", drain.View{})
	s := applyStep(t, b, start, "m2", drain.View{})
	assert.Equal(t, s.WaitsFor(), "host h1, which is closed for move/m1")
	now := start.Add(10 * time.Second)
	v := drain.NewView([]rock.EntryStatus{entryStatus("e1", 2, start.Add(time.Second), map[string]int{"h1": 0})}, listedHost(0, now), nil)
	for range 3 {
		applyStep(t, b, now, "m1", v)
	}
	applyStep(t, b, now, "m2", v)
	assert.Equal(t, moveState(t, b, "m2"), record.MoveCancelled)
	assert.Equal(t, hostSpec(t, b).Pool, "lids")
}

func TestCancelledMoveReopensHost(t *testing.T) {
	b := fleet.NewBook(move.Reviewer{}, hostRecord("h1", "tins"), moveRecord("m1", "h1", "tins", "lids"))
	applyStep(t, b, start, "m1", drain.View{})
	f, _ := b.Fleet()
	r, _ := f.Record(rock.NewKey(rock.KindMove, "m1"))
	m, err := record.MoveSpecOf(r)
	assert.NilError(t, err)
	m.State = record.MoveCancelled
	cancelled, err := record.Rewrite(r, m)
	assert.NilError(t, err)
	_, err = b.Change(context.Background(), start, rock.Proposal{ID: "stop", Records: []rock.Record{cancelled}})
	assert.NilError(t, err)
	applyStep(t, b, start, "m1", drain.View{})
	assert.Assert(t, hostSpec(t, b).Open)
	assert.Equal(t, hostSpec(t, b).Pool, "tins")
}

func TestHostWithoutPoolNeedsNoDrain(t *testing.T) {
	b := fleet.NewBook(move.Reviewer{}, hostRecord("h1", ""), moveRecord("m1", "h1", "", "lids"))
	v := drain.NewView([]rock.EntryStatus{entryStatus("e1", 1, start, nil)}, listedHost(0, start), nil)
	for range 4 {
		applyStep(t, b, start, "m1", v)
	}
	assert.Equal(t, moveState(t, b, "m1"), record.MoveDone)
	assert.Equal(t, hostSpec(t, b).Pool, "lids")
}

// A host that is gone is moved to no pool. It needs no live state for that, and its record
// can be deleted afterwards.
func TestRetiredHostLeavesItsPool(t *testing.T) {
	b := fleet.NewBook(move.Reviewer{}, hostRecord("h1", "tins"), moveRecord("m1", "h1", "tins", ""))
	applyStep(t, b, start, "m1", drain.View{})
	now := start.Add(10 * time.Second)
	gone := []rock.HostStatus{rock.NewHostStatus("h1", rock.HostGone, 0, 1, now)}
	v := drain.NewView([]rock.EntryStatus{entryStatus("e1", 2, start.Add(time.Second), map[string]int{"h1": 0})}, gone, nil)
	for range 3 {
		applyStep(t, b, now, "m1", v)
	}
	assert.Equal(t, moveState(t, b, "m1"), record.MoveDone)
	assert.Equal(t, hostSpec(t, b).Pool, "")
	f, _ := b.Fleet()
	r, _ := f.Record(rock.NewKey(rock.KindHost, "h1"))
	_, err := b.Change(context.Background(), now, rock.Proposal{ID: "delete", Deletes: []rock.Record{r}})
	assert.NilError(t, err)
}
