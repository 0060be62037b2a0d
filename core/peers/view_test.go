package peers_test

import (
	"math/rand/v2"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/peers"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func member(name, zone, incarnation string) rock.Member {
	return rock.NewMember(name, zone, "127.0.0.1:1", incarnation)
}

func heartbeat(m rock.Member, loads ...rock.PoolLoad) rock.Heartbeat {
	return rock.NewHeartbeat(m, 1, false, loads)
}

func status(m rock.Member, state rock.EntryState) rock.EntryStatus {
	return rock.NewEntryStatus(m, state, 1, start, nil)
}

func TestStateOfPeer(t *testing.T) {
	older, newer := member("e2", "a", "1"), member("e2", "a", "2")
	cases := map[string]struct {
		statuses   []rock.EntryStatus
		heartbeats []rock.Heartbeat
		after      time.Duration
		want       peers.State
	}{
		"heard":                        {heartbeats: []rock.Heartbeat{heartbeat(older)}, want: peers.Alive},
		"silent is slow, never gone":   {heartbeats: []rock.Heartbeat{heartbeat(older)}, after: time.Hour, want: peers.Slow},
		"known only by its row":        {statuses: []rock.EntryStatus{status(older, rock.EntryRunning)}, want: peers.Slow},
		"row says gone":                {statuses: []rock.EntryStatus{status(older, rock.EntryGone)}, heartbeats: []rock.Heartbeat{heartbeat(older)}, want: peers.Gone},
		"row says leaving":             {statuses: []rock.EntryStatus{status(older, rock.EntryLeaving)}, heartbeats: []rock.Heartbeat{heartbeat(older)}, want: peers.Leaving},
		"heartbeat says leaving":       {heartbeats: []rock.Heartbeat{rock.NewHeartbeat(older, 1, true, nil)}, want: peers.Leaving},
		"gone, then a new incarnation": {statuses: []rock.EntryStatus{status(older, rock.EntryGone)}, heartbeats: []rock.Heartbeat{heartbeat(newer)}, want: peers.Alive},
		"stale row after the new one":  {statuses: []rock.EntryStatus{status(newer, rock.EntryRunning), status(older, rock.EntryGone)}, heartbeats: []rock.Heartbeat{heartbeat(newer)}, want: peers.Alive},
		"stale running after leaving":  {statuses: []rock.EntryStatus{status(older, rock.EntryLeaving), status(older, rock.EntryRunning)}, want: peers.Leaving},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := peers.NewView(member("e1", "a", "1"), peers.Limits{})
			v.RecordStatuses(c.statuses)
			for _, h := range c.heartbeats {
				v.RecordHeartbeat(start, h, time.Millisecond)
			}
			got, ok := v.State(start.Add(c.after), "e2")
			assert.Assert(t, ok)
			assert.Equal(t, got, c.want)
		})
	}
}

func TestHeartbeatOfOlderIncarnationIsIgnored(t *testing.T) {
	v := peers.NewView(member("e1", "a", "1"), peers.Limits{})
	assert.Assert(t, v.RecordHeartbeat(start, heartbeat(member("e2", "a", "2")), 0))
	assert.Assert(t, !v.RecordHeartbeat(start, heartbeat(member("e2", "a", "1")), 0))
	s, ok := v.Find("e2")
	assert.Assert(t, ok)
	assert.Equal(t, s.Member().Incarnation(), "2")
	assert.Assert(t, !v.RecordHeartbeat(start, heartbeat(member("e1", "a", "9")), 0), "the entry's own heartbeat was recorded")
}

func TestAliveIsOrderedByZoneThenRoundTrip(t *testing.T) {
	v := peers.NewView(member("e1", "a", "1"), peers.Limits{})
	v.RecordHeartbeat(start, heartbeat(member("far", "c", "1")), 9*time.Millisecond)
	v.RecordHeartbeat(start, heartbeat(member("near", "b", "1")), 2*time.Millisecond)
	v.RecordHeartbeat(start, heartbeat(member("own", "a", "1")), 20*time.Millisecond)
	var names []string
	for _, s := range v.Alive(start) {
		names = append(names, s.Member().Name())
	}
	assert.DeepEqual(t, names, []string{"own", "near", "far"})
}

func TestChoose(t *testing.T) {
	load := func(slots int, wait time.Duration) rock.PoolLoad {
		return rock.NewPoolLoad("tins", 0, 0, slots, wait)
	}
	cases := map[string]struct {
		own  time.Duration
		near rock.PoolLoad
		far  rock.PoolLoad
		want string
	}{
		"own zone is best":                   {0, load(8, 0), load(8, 0), ""},
		"near has a shorter wait":            {time.Second, load(8, 0), load(8, 0), "near"},
		"far is best despite the round trip": {time.Second, load(8, 100*time.Millisecond), load(8, 0), "far"},
		"round trip outweighs the wait":      {time.Millisecond, load(8, 0), load(8, 0), ""},
		"peers have no slots":                {time.Second, load(0, 0), load(0, 0), ""},
		"own zone has no hosts":              {-1, load(8, 5*time.Second), load(0, 0), "near"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := peers.NewView(member("e1", "a", "1"), peers.Limits{})
			v.RecordHeartbeat(start, heartbeat(member("near", "b", "1"), c.near), 3*time.Millisecond)
			v.RecordHeartbeat(start, heartbeat(member("far", "c", "1"), c.far), 30*time.Millisecond)
			got, _ := peers.Choose("tins", c.own, v.Alive(start))
			assert.Equal(t, got, c.want)
		})
	}
}

func TestIncarnationGrows(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 2))
	first := peers.NewIncarnation(start, source, "")
	next := peers.NewIncarnation(start.Add(time.Second), source, first)
	assert.Assert(t, next > first)
	afterClockBack := peers.NewIncarnation(start.Add(-time.Hour), source, next)
	assert.Assert(t, afterClockBack > next, "%s is not after %s", afterClockBack, next)
}
