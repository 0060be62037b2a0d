package resize_test

import (
	"testing"
	"time"

	"bramleyrock/core/resize"

	"gotest.tools/v3/assert"
)

func TestPlan(t *testing.T) {
	cases := map[string]struct {
		pools []resize.Pool
		want  []resize.Move
	}{
		"hosts come from standby before idle pools": {
			[]resize.Pool{
				{Name: "a", Want: 320, HostCores: 32, Hosts: 6},
				{Name: "b", Want: 32, Keep: 300, HostCores: 32, Hosts: 6, Spare: 5},
				{Name: "s", Standby: true, HostCores: 32, Hosts: 3, Spare: 3},
			},
			[]resize.Move{{From: "s", To: "a", Count: 3}, {From: "b", To: "a", Count: 1}},
		},
		"pools share the hosts if there are too few": {
			[]resize.Pool{
				{Name: "a", Want: 960, HostCores: 32, Hosts: 17, Spare: 17},
				{Name: "b", Want: 960, HostCores: 32, Hosts: 3, Spare: 3},
			},
			[]resize.Move{{From: "a", To: "b", Count: 7}},
		},
		"a pool gets what it cannot do without before the others share the rest": {
			[]resize.Pool{
				{Name: "a", Want: 224, Min: 7, HostCores: 32, Hosts: 6, Spare: 1},
				{Name: "b", Want: 3200, HostCores: 32, Hosts: 14, Spare: 14},
			},
			[]resize.Move{{From: "b", To: "a", Count: 1}},
		},
		"a pool keeps its minimum": {
			[]resize.Pool{
				{Name: "a", Want: 320, HostCores: 32, Hosts: 6},
				{Name: "b", HostCores: 32, Hosts: resize.MinHosts, Spare: resize.MinHosts},
			},
			nil,
		},
		"busy hosts stay": {
			[]resize.Pool{
				{Name: "a", Want: 224, HostCores: 32, Hosts: 6},
				{Name: "b", HostCores: 32, Hosts: 9, Spare: 1},
			},
			[]resize.Move{{From: "b", To: "a", Count: 1}},
		},
		"hosts beyond the floor and one more go to standby": {
			[]resize.Pool{
				{Name: "a", Want: 96, HostCores: 32, Hosts: 9, Spare: 9, Rest: time.Second, Surged: true},
				{Name: "s", Standby: true, HostCores: 32, Hosts: 2, Spare: 2},
			},
			[]resize.Move{{From: "a", To: "s", Count: 1}},
		},
		"the floor is lower while the site is free of surges": {
			[]resize.Pool{
				{Name: "a", Want: 96, HostCores: 32, Hosts: 9, Spare: 9},
				{Name: "s", Standby: true, HostCores: 32, Hosts: 2, Spare: 2},
			},
			[]resize.Move{{From: "a", To: "s", Count: 5}},
		},
		"hosts that may be needed again soon stay": {
			[]resize.Pool{
				{Name: "a", Want: 96, Keep: 256, HostCores: 32, Hosts: 9, Spare: 9},
				{Name: "s", Standby: true, HostCores: 32, Hosts: 2, Spare: 2},
			},
			nil,
		},
		"without a standby pool hosts stay": {
			[]resize.Pool{{Name: "a", Want: 96, HostCores: 32, Hosts: 9, Spare: 9}},
			nil,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for i := range c.pools {
				if !c.pools[i].Surged {
					c.pools[i].Rest = time.Minute // no recent surge, so the floors are low
				}
			}
			assert.DeepEqual(t, resize.Plan(c.pools), c.want)
		})
	}
}

// The need rises at once. When demand ends it falls at once too, but the cores to retain
// decay over seconds.
func TestDemandRisesAtOnceAndIsKeptForAWhile(t *testing.T) {
	var d resize.Demand
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	before, _ := d.Estimate(now, 10, 5)
	surge, _ := d.Estimate(now.Add(100*time.Millisecond), 300, 5)
	assert.Assert(t, surge > 10*before, "%v after %v", surge, before)
	want, retained := d.Estimate(now.Add(600*time.Millisecond), 0, 5)
	assert.Equal(t, want, 5.0)
	assert.Assert(t, retained > surge/2, "%v after %v", retained, surge)
	_, decayed := d.Estimate(now.Add(10*time.Second), 0, 5)
	assert.Assert(t, decayed < surge/3, "%v after %v", decayed, surge)
}

func TestRateFollowsArrivals(t *testing.T) {
	var d resize.Demand
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for range 400 {
		now = now.Add(20 * time.Millisecond)
		d.AddArrival(now, 4)
	}
	assert.Assert(t, d.ForecastRate(now) > 180 && d.ForecastRate(now) < 220, "200 cores arrive, forecast is %v", d.ForecastRate(now))
}

func TestRisingRateIsExtrapolated(t *testing.T) {
	var d resize.Demand
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		d.AddArrival(now, float64(i)/10)
	}
	assert.Assert(t, d.ForecastRate(now) > 480, "500 cores arrive and the rate rises, forecast is %v", d.ForecastRate(now))
}
