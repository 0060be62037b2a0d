package resize_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleyrock/core/resize"

	"gotest.tools/v3/assert"
)

// fleet is a site whose pools surge by turns, played in virtual time. Work is a
// fluid: what waits is served oldest first among that which can still be in time,
// the rest after it.
type fleet struct {
	// perPool is the number of hosts of a pool at the start, standby that of the
	// standby pool.
	perPool, standby int
	// mean is the mean demand of a pool in cores, lasting that of tasks that last.
	mean, lasting float64
	// turn is how long a surge lasts.
	turn time.Duration
	// smooth is true if a surge rises and falls gradually.
	smooth bool
	// job is the work of a job in core-seconds.
	job float64
}

const (
	hostCores = 32
	// tick is the step of the play.
	playTick = 50 * time.Millisecond
	// planGap is the time between plans, newsAge how old the others' word is.
	planGap = 300 * time.Millisecond
	newsAge = 250 * time.Millisecond
	// arrival is how long a host that moves is away until it may be used.
	arrival = 2400 * time.Millisecond
	// holderGap is how long a host that has arrived must stay.
	holderGap = 3300 * time.Millisecond
	// movesPerSecond bounds the moves.
	movesPerSecond = 64
	// taskTime is how long a task takes, so long a busy host takes to empty.
	taskTime = 800 * time.Millisecond
	// patience is how long work may wait to be served in time, lateAfter how long
	// to be of use at all.
	patience  = 1300 * time.Millisecond
	lateAfter = 6 * time.Second
	playPools = 4
)

type playHost struct {
	pool     int
	usableAt time.Duration
	movable  time.Duration
	leavesAt time.Duration // 0 while it stays
	to       int
}

type playPool struct {
	demand   resize.Demand
	activity resize.Activity
	waiting  []waiting
	random   *rand.Rand
}

type waiting struct {
	at   time.Duration
	work float64
}

// result is what became of the work, in core-seconds, and the host-seconds that
// were paid.
type result struct{ came, inTime, late, paid, moves float64 }

// rate returns the demand of a pool at a time, in cores.
func (f fleet) rate(pool int, at time.Duration) float64 {
	if at < 0 || at >= playPools*f.turn {
		return 0
	}
	calm := 0.05 * f.mean
	begin := time.Duration(pool) * f.turn
	if at < begin || at >= begin+f.turn {
		return calm
	}
	if !f.smooth {
		return (playPools - 0.15) * f.mean
	}
	x := (at - begin).Seconds() / f.turn.Seconds()
	s := math.Sin(math.Pi * x)
	return calm + 2*(playPools-0.2)*f.mean*s*s
}

func (f fleet) play(seed uint64, plan planner) result {
	var r result
	epoch := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var hosts []*playHost
	for p := range playPools + 1 {
		n := f.perPool
		if p == playPools {
			n = f.standby
		}
		for range n {
			hosts = append(hosts, &playHost{pool: p, movable: -time.Hour, usableAt: -time.Hour})
		}
	}
	pools := make([]*playPool, playPools)
	for i := range pools {
		pools[i] = &playPool{random: rand.New(rand.NewPCG(seed, uint64(i)))}
	}
	tokens, lastPlan := 0.0, -time.Hour
	for at := -13 * time.Second; at < playPools*f.turn+15*time.Second; at += playTick {
		now := epoch.Add(at)
		for i, p := range pools {
			for due := f.rate(i, at) * playTick.Seconds() / f.job; due > 0; due-- {
				if p.random.Float64() < due {
					work := f.job * (0.5 + p.random.Float64())
					p.demand.AddArrival(now, work)
					p.waiting = append(p.waiting, waiting{at, work})
					r.came += work
				}
			}
		}
		f.serve(&r, pools, hosts, at)
		for _, h := range hosts {
			if h.pool != playPools {
				r.paid += playTick.Seconds()
			}
		}
		if at-lastPlan >= planGap {
			lastPlan = at
			f.move(at, hosts, plan(now, f.describe(now, at, pools, hosts)))
		}
		tokens = min(tokens+movesPerSecond*playTick.Seconds(), 8)
		for _, h := range hosts {
			if h.leavesAt != 0 && at >= h.leavesAt && tokens >= 1 {
				tokens--
				r.moves++
				h.pool, h.leavesAt = h.to, 0
				h.usableAt, h.movable = at+arrival, at+1500*time.Millisecond+holderGap
			}
		}
	}
	return r
}

// serve serves the work that waits and returns the usable hosts of each pool.
func (f fleet) serve(r *result, pools []*playPool, hosts []*playHost, at time.Duration) []int {
	count := make([]int, playPools+1)
	for _, h := range hosts {
		if h.usableAt <= at && h.leavesAt == 0 {
			count[h.pool]++
		}
	}
	for i, p := range pools {
		room := max(0, float64(count[i]*hostCores)-f.lasting) * playTick.Seconds()
		take := func(from, to time.Duration, sum *float64) {
			for j := range p.waiting {
				w := &p.waiting[j]
				if age := at - w.at; age < from || age >= to {
					continue
				}
				n := min(room, w.work)
				room -= n
				w.work -= n
				*sum += n
			}
		}
		take(0, patience, &r.inTime)
		take(patience, lateAfter, &r.late)
		p.waiting = slices.DeleteFunc(p.waiting, func(w waiting) bool { return w.work <= 0 || at-w.at >= lateAfter })
	}
	return count
}

// planner decides which hosts move.
type planner func(now time.Time, pools []pool) []resize.Move

// pool is a pool as its owner describes it, with the rate of its arrivals without
// regard to its trend.
type pool struct {
	resize.Pool
	mean float64
}

// planned returns the moves of the plan.
func planned(_ time.Time, pools []pool) []resize.Move {
	var all []resize.Pool
	for _, p := range pools {
		all = append(all, p.Pool)
	}
	return resize.Plan(all)
}

// reactive returns the moves of the plan if pools want what arrives at present.
func reactive(now time.Time, pools []pool) []resize.Move {
	for i := range pools {
		pools[i].Want = pools[i].mean
	}
	return planned(now, pools)
}

// fixed moves no hosts.
func fixed(time.Time, []pool) []resize.Move { return nil }

// describe describes the pools.
func (f fleet) describe(now time.Time, at time.Duration, pools []*playPool, hosts []*playHost) []pool {
	spare := make([]int, playPools+1)
	inPool := make([]int, playPools+1)
	for _, h := range hosts {
		inPool[h.pool]++
		if h.movable <= at && h.leavesAt == 0 {
			spare[h.pool]++
		}
	}
	even := float64(hostCores*len(hosts)) / playPools
	all := make([]pool, 0, playPools+1)
	for i, p := range pools {
		ready := 0.0
		for _, w := range p.waiting {
			ready += w.work
		}
		p.activity.Observe(now, p.demand.RecentRate(now), even)
		rest, surged := p.activity.SinceSurge(now)
		want, keep := p.demand.Estimate(now, ready, f.lasting)
		all = append(all, pool{
			resize.Pool{
				Name: fmt.Sprint(i), Want: want, Keep: keep, HostCores: hostCores, Hosts: inPool[i],
				Spare: max(0, spare[i]-int(math.Ceil(f.lasting/hostCores))),
				Rest:  rest, Surged: surged,
			},
			f.lasting + max(p.demand.RecentRate(now), ready/taskTime.Seconds()),
		})
	}
	return append(all, pool{Pool: resize.Pool{Name: fmt.Sprint(playPools), Standby: true, HostCores: hostCores, Hosts: inPool[playPools], Spare: spare[playPools]}})
}

// move lets hosts leave their pools, once they are empty.
func (f fleet) move(at time.Duration, hosts []*playHost, moves []resize.Move) {
	for _, m := range moves {
		n := m.Count
		for _, h := range hosts {
			if n == 0 {
				break
			}
			if fmt.Sprint(h.pool) != m.From || h.movable > at || h.leavesAt != 0 {
				continue
			}
			n--
			h.leavesAt, h.to = at+newsAge, int(m.To[0]-'0')
			if h.pool != playPools && f.rate(h.pool, at) > f.mean {
				h.leavesAt += taskTime
			}
		}
	}
}

// Hosts that follow the demand serve more of it in time than fixed pools do, and
// more than those that follow it as it is when a plan is made: a host arrives 2.4 s
// later. A load that fixed pools hold is served as well with hosts that move, which
// cost less.
func TestTurns(t *testing.T) {
	cases := map[string]struct {
		load fleet
		// gain and ahead are the least gains over fixed pools and over following
		// the present demand, in the share served in time.
		gain, ahead float64
	}{
		"large pools, twice what one holds":      {fleet{perPool: 73, standby: 56, mean: 1050, lasting: 265, turn: 10 * time.Second, smooth: true, job: 32}, 0.1, 0.05},
		"large pools, large jobs, shorter turns": {fleet{perPool: 73, standby: 56, mean: 1050, lasting: 265, turn: 8500 * time.Millisecond, smooth: true, job: 60}, 0.1, 0.05},
		"large pools, what one holds":            {fleet{perPool: 73, standby: 56, mean: 500, lasting: 265, turn: 10 * time.Second, smooth: true, job: 32}, 0.05, 0.05},
		"small pools":                            {fleet{perPool: 10, standby: 8, mean: 130, lasting: 40, turn: 8 * time.Second, smooth: true, job: 40}, 0.1, 0.05},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ways := map[string]planner{"plan": planned, "reactive": reactive, "fixed": fixed}
			sums := map[string]result{}
			for way, plan := range ways {
				var s result
				for seed := range uint64(3) {
					r := c.load.play(seed, plan)
					s.came, s.inTime, s.late, s.paid, s.moves = s.came+r.came, s.inTime+r.inTime, s.late+r.late, s.paid+r.paid, s.moves+r.moves
				}
				sums[way] = s
				t.Logf("%s: in time %.3f, late %.3f, host-seconds %.0f, moves %.0f", way, s.inTime/s.came, s.late/s.came, s.paid/3, s.moves/3)
			}
			p, r, f := sums["plan"], sums["reactive"], sums["fixed"]
			assert.Assert(t, p.inTime/p.came >= f.inTime/f.came+c.gain)
			assert.Assert(t, p.inTime/p.came >= r.inTime/r.came+c.ahead)
			assert.Assert(t, p.paid < f.paid)
		})
	}
}
