package drive

import (
	"maps"
	"slices"
	"time"

	"bramleyrock/core/place"
)

// surge runs a plan with and without the surge.
func surge(seed uint64, change func(p *plan)) Surge {
	run := func(with bool) []*tally {
		p := today(seed, with)
		if change != nil {
			change(&p)
		}
		d := newDrive(p)
		d.from, d.to = 10*time.Second, 20*time.Second
		return d.run()
	}
	calm, full := run(false), run(true)
	r := Surge{
		useful:  full[0].work.Seconds() / (24 * 10),
		late:    full[0].expired + full[0].failed,
		refused: full[0].refused,
	}
	for i := 1; i < len(calm); i++ {
		// A wait below 1 ms is no delay that a caller could see.
		before, after := max(calm[i].p(0.99), time.Millisecond), max(full[i].p(0.99), time.Millisecond)
		r.worst = max(r.worst, float64(after)/float64(before))
		r.p99 = max(r.p99, after)
	}
	return r
}

// Surges plays a surge of one pool, to five times its mean and then to a
// twentieth, in each way of queueing and placing, with each of the seeds.
func Surges(seeds ...uint64) []Surge {
	var all []Surge
	for _, way := range slices.Sorted(maps.Keys(baselines)) {
		all = append(all, surgeIn(way, seeds))
	}
	return all
}

// surgeIn plays a surge in one way, with each of the seeds.
func surgeIn(way string, seeds []uint64) Surge {
	sum := Surge{way: way}
	for _, seed := range seeds {
		r := surge(seed, baselines[way])
		sum.useful += r.useful / float64(len(seeds))
		sum.late += r.late
		sum.refused += r.refused
		sum.worst = max(sum.worst, r.worst)
		sum.p99 = max(sum.p99, r.p99)
	}
	return sum
}

// baselines are the ways of queueing and placing, the present one and simpler
// ones.
var baselines = map[string]func(p *plan){
	"one shared queue":   func(p *plan) { p.shared = true },
	"plain FIFO":         func(p *plan) { p.settings.Queue.FIFO, p.settings.Queue.AdmitAll, p.blind = true, true, true },
	"FIFO, late dropped": func(p *plan) { p.settings.Queue.FIFO, p.settings.Queue.AdmitAll = true, true },
	"random":             func(p *plan) { p.settings.Place.Policy = place.Random },
	"round-robin":        func(p *plan) { p.settings.Place.Policy = place.RoundRobin },
	"least in flight":    func(p *plan) { p.settings.Place.Policy = place.LeastInFlight },
	"two choices":        nil,
}
