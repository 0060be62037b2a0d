package resize_test

import (
	"testing"
	"time"

	"bramleyrock/core/resize"

	"gotest.tools/v3/assert"
)

// The time since the last surge counts from the first observation until a surge is
// observed, and survives a change of the pool's owner.
func TestActivity(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var a resize.Activity
	elapsed, surged := a.SinceSurge(now)
	assert.Equal(t, elapsed, time.Duration(0))
	assert.Assert(t, !surged)
	a.Observe(now, 0, 100)
	now = now.Add(10 * time.Second)
	a.Observe(now, 5, 100)
	elapsed, surged = a.SinceSurge(now)
	assert.Equal(t, elapsed, 10*time.Second)
	assert.Assert(t, !surged)
	a.Observe(now, 200, 100)
	now = now.Add(4 * time.Second)
	a.Observe(now, 5, 100)
	elapsed, surged = a.SinceSurge(now)
	assert.Equal(t, elapsed, 4*time.Second)
	assert.Assert(t, surged)

	var next resize.Activity
	next.Restore(now, elapsed, surged)
	next.Observe(now.Add(time.Second), 5, 100)
	elapsed, surged = next.SinceSurge(now.Add(time.Second))
	assert.Equal(t, elapsed, 5*time.Second)
	assert.Assert(t, surged)
}

// site returns four pools and a standby pool, with an even share of 20 hosts. Pools in
// sinceSurge have surged that long ago. The others have been observed for that time.
func site(sinceSurge map[string]time.Duration, observed time.Duration) []resize.Pool {
	var pools []resize.Pool
	for _, name := range []string{"a", "b", "c", "d"} {
		elapsed, surged := sinceSurge[name]
		if !surged {
			elapsed = observed
		}
		pools = append(pools, resize.Pool{Name: name, HostCores: 32, Hosts: 4, Rest: elapsed, Surged: surged})
	}
	return append(pools, resize.Pool{Name: "s", Standby: true, HostCores: 32, Hosts: 64, Spare: 64})
}

// Pools that may surge next are filled up to their floors, two hosts per plan. The
// floors of the other pools, and of all pools while the site is free of surges, are low
// enough here that they get none.
func TestFloors(t *testing.T) {
	cases := map[string]struct {
		sinceSurge map[string]time.Duration
		observed   time.Duration
		filled     map[string]bool
	}{
		"none is known to have surged": {nil, time.Second, map[string]bool{"a": true, "b": true, "c": true, "d": true}},
		"one has surged":               {map[string]time.Duration{"a": time.Second}, time.Minute, map[string]bool{"b": true, "c": true, "d": true}},
		"all have surged": {
			map[string]time.Duration{"a": 20 * time.Second, "b": 30 * time.Second, "c": 0, "d": 10 * time.Second}, 0,
			map[string]bool{"b": true},
		},
		"no pool has surged of late": {
			map[string]time.Duration{"a": 40 * time.Second, "b": 50 * time.Second, "c": 20 * time.Second, "d": 30 * time.Second}, 0,
			map[string]bool{},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			filled := map[string]bool{}
			for _, m := range resize.Plan(site(c.sinceSurge, c.observed)) {
				assert.Equal(t, m.From, "s")
				assert.Equal(t, m.Count, 2)
				filled[m.To] = true
			}
			assert.DeepEqual(t, filled, c.filled)
		})
	}
}

// A pool gets all hosts that its demand needs in one plan, also while others are below
// their floors.
func TestDemandGoesBeforeFloors(t *testing.T) {
	pools := site(map[string]time.Duration{"a": 0}, time.Minute)
	pools[0].Want = 800
	moves := resize.Plan(pools)
	assert.DeepEqual(t, moves[0], resize.Move{From: "s", To: "a", Count: 21})
}
