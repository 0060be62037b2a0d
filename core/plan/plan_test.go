package plan_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"

	"bramleyrock/core/plan"
	"bramleyrock/io/chart"

	"gotest.tools/v3/assert"
)

var (
	tradeoffs = flag.String("tradeoffs", "", "file to which the measured runs are written as JSON")
	plotFile  = flag.String("plot", "", "file to which the measured runs are drawn as SVG")
)

type deployment struct {
	zones   int
	weights plan.Weights
	pools   []string
}

var deployments = map[string]deployment{
	"zarqa":    {3, plan.PreferFewMoves(), []string{"alpha", "beta", "gamma", "delta", "tooling"}},
	"blespind": {4, plan.PreferFastRollOut(), []string{"rounds", "bookings", "bundles", "billing", "office"}},
}

const fleetHosts = 52

// loads returns the loads of the deployment's pools for that seed.
func (d deployment) loads(seed uint64, shifts bool) []load {
	return loads(10*seed+uint64(d.zones), shifts)
}

func (d deployment) run(seed uint64, shifts bool, o observingPolicy) plan.Tradeoff {
	return newSite(fleetHosts, d.zones, d.pools).run(d.loads(seed, shifts), o, true)
}

// Surges of seconds must not move any host.
func TestSurgesCauseNoMove(t *testing.T) {
	t.Parallel()
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				assert.Equal(t, d.run(seed, false, plannedPolicy(d.weights)).Moves, 0, "seed %d", seed)
			}
		})
	}
}

// TestLastingShiftMovesFewHosts compares the planner with a static and a greedy policy,
// on a day with surges, lasting shifts of demand and the failure of a rack. The planner
// must follow the shifts with few moves and make less work late than both.
func TestLastingShiftMovesFewHosts(t *testing.T) {
	t.Parallel()
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stay := d.run(1, true, observingPolicy{decide: static})
			follow := d.run(1, true, observingPolicy{decide: greedy})
			got := d.run(1, true, plannedPolicy(d.weights))
			t.Logf("static %+v", stay)
			t.Logf("greedy %+v", follow)
			t.Logf("planned %+v", got)
			assert.Assert(t, got.Moves > 0)
			assert.Assert(t, got.Moves*20 < follow.Moves)
			assert.Assert(t, got.LateShare < stay.LateShare)
			assert.Assert(t, got.LateShare < follow.LateShare)
		})
	}
}

// A pool that needs 40 slots, and 200 for one hundredth of the time, needs more hosts the
// smaller the allowed shortfall is.
func TestMinHosts(t *testing.T) {
	d := &plan.Demand{}
	now := start
	for i := range 3600 {
		now = now.Add(step)
		slots := 40.0
		if i%100 == 0 {
			slots = 200
		}
		d.Observe(now, day, slots, 0)
	}
	assert.Equal(t, d.MinHosts(8, 1), 1)
	assert.Equal(t, d.MinHosts(8, 0.05), 5)
	assert.Equal(t, d.MinHosts(8, 0.001), 25)
	assert.Assert(t, d.Mean() > 41 && d.Mean() < 42)
}

// BenchmarkPlan measures idle share, late share, moves and roll-out time of the planner
// and the baselines, and, over fleets of several sizes, how idle share trades against
// late share.
func BenchmarkPlan(b *testing.B) {
	var rows []plan.Tradeoff
	for name, d := range deployments {
		policies := map[string]func() observingPolicy{
			"static":         func() observingPolicy { return observingPolicy{decide: static} },
			"greedy":         func() observingPolicy { return observingPolicy{decide: greedy} },
			"moves_first":    func() observingPolicy { return plannedPolicy(plan.PreferFewMoves()) },
			"roll_out_first": func() observingPolicy { return plannedPolicy(plan.PreferFastRollOut()) },
		}
		for policy, make := range policies {
			b.Run(name+"/"+policy, func(b *testing.B) {
				for b.Loop() {
					row := d.run(1, true, make())
					row.Deployment, row.Policy, row.Seed = name, policy, 1
					rows = append(rows, row)
					report(b, row)
				}
			})
		}
		for _, hosts := range []int{35, 40, 45, 50, 55, 60, 70, 80, 100} {
			b.Run(name+"/sized", func(b *testing.B) {
				for b.Loop() {
					row := newSite(hosts, d.zones, d.pools).run(d.loads(1, false), observingPolicy{decide: static}, false)
					row.Deployment, row.Policy, row.Seed = name, "sized", 1
					rows = append(rows, row)
					report(b, row)
				}
			})
		}
	}
	if *tradeoffs != "" {
		data, err := json.MarshalIndent(rows, "", " ")
		assert.NilError(b, err)
		assert.NilError(b, os.WriteFile(*tradeoffs, append(data, '\n'), 0o644))
	}
	if *plotFile != "" {
		var out bytes.Buffer
		assert.NilError(b, chart.WriteSVG(&out, "Buffer against late work", rows))
		assert.NilError(b, os.WriteFile(*plotFile, out.Bytes(), 0o644))
	}
}

func report(b *testing.B, row plan.Tradeoff) {
	b.ReportMetric(float64(row.Hosts), "hosts")
	b.ReportMetric(100*row.IdleShare, "idle-%")
	b.ReportMetric(100*row.LateShare, "late-%")
	b.ReportMetric(float64(row.Moves), "moves")
	b.ReportMetric(row.RollOutSeconds, "roll-out-s")
}
