package resize_test

import (
	"testing"
	"time"

	"bramleyrock/core/resize"

	"gotest.tools/v3/assert"
)

// A site whose pools surge one after the other is not calm in between, and one that
// has just been started is not before it is known.
func TestActivity(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var a resize.Activity
	assert.Assert(t, !a.Calm(now), "nothing is known")
	a.Note(now, 0, 100)
	assert.Assert(t, !a.Calm(now.Add(10*time.Second)))
	assert.Assert(t, a.Calm(now.Add(20*time.Second)))
	for range 4 {
		now = now.Add(10 * time.Second)
		a.Note(now, 200, 100)
		a.Note(now, 5, 100)
		assert.Assert(t, !a.Calm(now.Add(9*time.Second)), "the next pool is about to surge")
	}
	assert.Assert(t, a.Calm(now.Add(20*time.Second)))
}

// TestFloors plans for pools below their floor.
func TestFloors(t *testing.T) {
	surging := func(want float64) []resize.Pool {
		return []resize.Pool{
			{Name: "a", Want: want, HostCores: 32, Hosts: 4},
			{Name: "b", HostCores: 32, Hosts: 4},
			{Name: "s", Standby: true, HostCores: 32, Hosts: 32, Spare: 32},
		}
	}
	assert.DeepEqual(t, resize.Plan(surging(800), false), []resize.Move{{From: "s", To: "a", Count: 21}, {From: "s", To: "b", Count: 2}})
	assert.DeepEqual(t, resize.Plan(surging(0), false), []resize.Move{{From: "s", To: "b", Count: 2}, {From: "s", To: "a", Count: 2}})
	assert.DeepEqual(t, resize.Plan(surging(0), true), []resize.Move(nil))
}
