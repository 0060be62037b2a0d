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
		"standby helps the surging pool before idle pools do": {
			[]resize.Pool{
				{Name: "a", Want: 320, HostCores: 32, Hosts: 6},
				{Name: "b", Want: 32, Keep: 300, HostCores: 32, Hosts: 6, Spare: 5},
				{Name: "s", Standby: true, HostCores: 32, Hosts: 3, Spare: 3},
			},
			[]resize.Move{{From: "s", To: "a", Count: 3}, {From: "b", To: "a", Count: 1}},
		},
		"pools that want more than there is share it": {
			[]resize.Pool{
				{Name: "a", Want: 960, HostCores: 32, Hosts: 17, Spare: 17},
				{Name: "b", Want: 960, HostCores: 32, Hosts: 3, Spare: 3},
			},
			[]resize.Move{{From: "a", To: "b", Count: 7}},
		},
		"a pool keeps its least number": {
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
		"what nobody needs goes to standby, but the floor and one": {
			[]resize.Pool{
				{Name: "a", Want: 96, HostCores: 32, Hosts: 9, Spare: 9, Rest: time.Second, Surged: true},
				{Name: "s", Standby: true, HostCores: 32, Hosts: 2, Spare: 2},
			},
			[]resize.Move{{From: "a", To: "s", Count: 1}},
		},
		"while the site is calm the floor is lower": {
			[]resize.Pool{
				{Name: "a", Want: 96, HostCores: 32, Hosts: 9, Spare: 9},
				{Name: "s", Standby: true, HostCores: 32, Hosts: 2, Spare: 2},
			},
			[]resize.Move{{From: "a", To: "s", Count: 5}},
		},
		"what may be needed again soon stays": {
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
					c.pools[i].Rest = time.Minute // calm, so that floors are low
				}
			}
			assert.DeepEqual(t, resize.Plan(c.pools), c.want)
		})
	}
}

func TestDemandRisesAtOnceAndIsKeptForAWhile(t *testing.T) {
	var d resize.Demand
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	calm, _ := d.Estimate(now, 10, 5)
	surge, _ := d.Estimate(now.Add(100*time.Millisecond), 300, 5)
	assert.Assert(t, surge > 10*calm, "%v after %v", surge, calm)
	want, keep := d.Estimate(now.Add(600*time.Millisecond), 0, 5)
	assert.Equal(t, want, 5.0)
	assert.Assert(t, keep > surge/2, "%v after %v", keep, surge)
	_, late := d.Estimate(now.Add(10*time.Second), 0, 5)
	assert.Assert(t, late < surge/3, "%v after %v", late, surge)
}

func TestRateFollowsArrivals(t *testing.T) {
	var d resize.Demand
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for range 400 {
		now = now.Add(20 * time.Millisecond)
		d.AddArrival(now, 4)
	}
	assert.Assert(t, d.ForecastRate(now) > 180 && d.ForecastRate(now) < 220, "200 cores arrive, %v seen", d.ForecastRate(now))
}

func TestRisingRateIsCarriedOn(t *testing.T) {
	var d resize.Demand
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		d.AddArrival(now, float64(i)/10)
	}
	assert.Assert(t, d.ForecastRate(now) > 480, "500 cores arrive and more will, %v seen", d.ForecastRate(now))
}
