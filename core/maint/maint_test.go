package maint_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/maint"

	"gotest.tools/v3/assert"
)

// wave returns a wave with a limit of 60 seconds and of two hosts at once.
func wave(hosts ...string) rock.MaintenanceWave {
	return rock.MaintenanceWave{Number: 1, Hosts: hosts, TimeLimit: 60 * time.Second, MaxParallel: 2}
}

// up returns hosts that may be taken down.
func up(names ...string) []maint.Host {
	var list []maint.Host
	for _, n := range names {
		list = append(list, maint.Host{Name: n, Worker: "w-" + n, Eligible: true})
	}
	return list
}

// TestSelectHosts checks how many hosts are claimed and in which order: too many would
// exceed the wave's limit or starve the pool, too few would miss the wave's time
// limit.
func TestSelectHosts(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f"}
	busy := up(all...)
	busy[0].Runs = 5
	persistent := up(all...)
	persistent[4].PersistentRuns = 2
	cases := map[string]struct {
		since time.Duration
		state maint.State
		hosts []maint.Host
		pool  maint.Pool
		want  []string
	}{
		"as many as the wave allows":                {0, maint.State{}, up(all...), maint.Pool{Hosts: 12, HasSpareCapacity: true}, []string{"a", "b"}},
		"claims of others count":                    {0, maint.State{Claims: map[string]maint.Claim{"x": {}}}, up(all...), maint.Pool{Hosts: 12, HasSpareCapacity: true}, []string{"a"}},
		"a third of a small pool":                   {0, maint.State{}, up(all...), maint.Pool{Hosts: 3, HasSpareCapacity: true}, []string{"a"}},
		"none while the pool is busy":               {0, maint.State{}, up(all...), maint.Pool{Hosts: 12}, nil},
		"in a busy pool when time runs short":       {40 * time.Second, maint.State{}, up(all...), maint.Pool{Hosts: 12}, []string{"a", "b"}},
		"urgent early enough to survive an outage":  {36 * time.Second, maint.State{}, up(all...), maint.Pool{Hosts: 12}, []string{"a", "b"}},
		"no share limit on standby":                 {0, maint.State{}, up(all...), maint.Pool{Hosts: 3, Idle: true}, []string{"a", "b"}},
		"idle hosts first":                          {0, maint.State{}, busy, maint.Pool{Hosts: 12, HasSpareCapacity: true}, []string{"b", "c"}},
		"hosts with persistent tasks first":         {0, maint.State{}, persistent, maint.Pool{Hosts: 12, HasSpareCapacity: true}, []string{"e", "a"}},
		"hosts that are done are not claimed again": {0, maint.State{Done: []string{"a", "b"}}, up(all...), maint.Pool{Hosts: 12, HasSpareCapacity: true}, []string{"c", "d"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, maint.SelectHosts(c.since, wave(all...), c.state, c.hosts, c.pool), c.want)
		})
	}
}

func TestHostThatIsDownIsNotPicked(t *testing.T) {
	hosts := up("a", "b")
	hosts[0].Eligible = false
	assert.DeepEqual(t, maint.SelectHosts(0, wave("a", "b"), maint.State{}, hosts, maint.Pool{Hosts: 9, HasSpareCapacity: true}), []string{"b"})
}

// TestStateSurvivesARoundTrip checks that a stored state decodes unchanged, and
// that a claimed host counts as begun only once its maintenance is ordered.
func TestStateSurvivesARoundTrip(t *testing.T) {
	s, err := maint.Decode(nil)
	assert.NilError(t, err)
	s.Claims["a"] = maint.Claim{Worker: "w1", Ordered: true}
	s.Claims["b"] = maint.Claim{}
	s.Finish("b")
	data, err := s.Encode()
	assert.NilError(t, err)
	got, err := maint.Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, s)
	assert.Assert(t, got.AllStarted(wave("a", "b")), "one is done, the other ordered")
	assert.Assert(t, !got.AllStarted(wave("a", "b", "c")))
	got.Claims["c"] = maint.Claim{}
	assert.Assert(t, !got.AllStarted(wave("a", "b", "c")), "a claimed host is not ordered yet")
	got.Finish("c")
	assert.Assert(t, got.AllStarted(wave("a", "b", "c")))
}
