package maint_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/maint"

	"gotest.tools/v3/assert"
)

func wave(hosts ...string) rock.MaintenanceWave {
	return rock.MaintenanceWave{Number: 1, Hosts: hosts, TimeLimit: 60 * time.Second, MaxParallel: 2}
}

func up(names ...string) []maint.Host {
	var list []maint.Host
	for _, n := range names {
		list = append(list, maint.Host{Name: n, Worker: "w-" + n, Eligible: true})
	}
	return list
}

func TestPick(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f"}
	busy := up(all...)
	busy[0].Runs = 5
	lasting := up(all...)
	lasting[4].PersistentRuns = 2
	cases := map[string]struct {
		since time.Duration
		state maint.State
		hosts []maint.Host
		pool  maint.Pool
		want  []string
	}{
		"as many as the wave allows":          {0, maint.State{}, up(all...), maint.Pool{Hosts: 12, HasSpareCapacity: true}, []string{"a", "b"}},
		"claims of others count":              {0, maint.State{Claims: map[string]maint.Claim{"x": {}}}, up(all...), maint.Pool{Hosts: 12, HasSpareCapacity: true}, []string{"a"}},
		"a third of a small pool":             {0, maint.State{}, up(all...), maint.Pool{Hosts: 3, HasSpareCapacity: true}, []string{"a"}},
		"none while the pool is busy":         {0, maint.State{}, up(all...), maint.Pool{Hosts: 12}, nil},
		"in any case when time runs short":    {40 * time.Second, maint.State{}, up(all...), maint.Pool{Hosts: 12}, []string{"a", "b"}},
		"before an outage would make it late": {36 * time.Second, maint.State{}, up(all...), maint.Pool{Hosts: 12}, []string{"a", "b"}},
		"standby hosts always":                {0, maint.State{}, up(all...), maint.Pool{Hosts: 3, Idle: true}, []string{"a", "b"}},
		"idle hosts first":                    {0, maint.State{}, busy, maint.Pool{Hosts: 12, HasSpareCapacity: true}, []string{"b", "c"}},
		"hosts with lasting tasks before all": {0, maint.State{}, lasting, maint.Pool{Hosts: 12, HasSpareCapacity: true}, []string{"e", "a"}},
		"what is done is not taken again":     {0, maint.State{Done: []string{"a", "b"}}, up(all...), maint.Pool{Hosts: 12, HasSpareCapacity: true}, []string{"c", "d"}},
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
	assert.Assert(t, !got.AllStarted(wave("a", "b", "c")), "a claim is no order")
	got.Finish("c")
	assert.Assert(t, got.AllStarted(wave("a", "b", "c")))
}
