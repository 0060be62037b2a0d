package plan_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/plan"
	"bramleyrock/io/fakes/fleet"
)

const (
	step         = 5 * time.Second
	day          = 24 * time.Hour
	slots        = 8
	maxWait      = 30.0 // seconds that work can wait before it is late
	waveHostTime = 200  // seconds that a wave takes for one host
	moveTime     = time.Minute
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// load is the demand of one pool in slots, for each step of a day.
type load []float64

// loads returns the loads of five pools for a day. The pools surge one after the other
// to five times their mean for 10 to 20 s and then fall to a twentieth of it for 40 s.
// If shifts is true, two pairs of pools change their means for hours.
func loads(seed uint64, shifts bool) []load {
	random := rand.New(rand.NewPCG(seed, 11))
	all := make([]load, 5)
	means := []float64{50, 46, 52, 48, 30}
	for p := range all {
		all[p] = make(load, int(day/step))
		for i := range all[p] {
			hour := float64(i) * step.Hours()
			all[p][i] = means[p] * (0.85 + 0.3*random.Float64())
			if shifts {
				all[p][i] *= shift(p, hour)
			}
		}
	}
	for i, p := 0, 0; i < int(day/step)-40; p = (p + 1) % len(all) {
		surgeSteps := 2 + random.IntN(3)
		for k := range surgeSteps + 8 {
			factor := 5.0
			if k >= surgeSteps {
				factor = 0.05
			}
			all[p][i+k] *= factor
		}
		i += 24 + random.IntN(48)
	}
	return all
}

// shift returns the factor by which the mean of the pool is changed at that hour.
func shift(pool int, hour float64) float64 {
	switch {
	case pool == 0 && hour >= 6:
		return 1.7
	case pool == 1 && hour >= 6:
		return 0.5
	case pool == 2 && hour >= 12 && hour < 20:
		return 1.5
	case pool == 3 && hour >= 12 && hour < 20:
		return 0.6
	}
	return 1
}

// site simulates pools that serve their loads through a day, and sums up the results.
type site struct {
	book            *fleet.Book
	pools           []string
	backlog         []float64
	meanDemand      []float64
	awayUntil       map[string]time.Time
	zones           int
	idleSlotSeconds float64
	work            float64
	late            float64
	slotSeconds     float64
	rollOutSum      float64
	measurements    int
	moves           int
}

func newSite(hosts, zones int, pools []string) *site {
	s := &site{pools: pools, backlog: make([]float64, len(pools)), meanDemand: make([]float64, len(pools)), awayUntil: map[string]time.Time{}, zones: zones}
	var records []rock.Record
	for _, p := range pools {
		records = append(records, newRecord(rock.KindPool, p, `{"organisation":"alpha","spare":false}`))
	}
	for i := range hosts {
		records = append(records, newRecord(rock.KindHost, fmt.Sprintf("h%02d", i), hostBody(i, zones, pools[i%len(pools)], 1)))
	}
	s.book = fleet.NewBook(nil, records...)
	return s
}

func newRecord(kind rock.Kind, name, body string) rock.Record {
	return rock.NewRecord(rock.NewKey(kind, name), 1, 0, []byte(body))
}

func hostBody(i, zones int, pool string, generation uint64) string {
	return fmt.Sprintf(`{"address":"10.0.0.%d:9000","zone":"z%d","rack":"r%d","pool":%q,"generation":%d,"slots":8,"open":true}`,
		i, i/4%zones, i/4, pool, generation)
}

// serve simulates one step and returns a sample of each pool.
func (s *site) serve(now time.Time, demand []load, i int) []plan.Sample {
	f, _ := s.book.Fleet()
	samples := make([]plan.Sample, len(s.pools))
	for p, pool := range s.pools {
		hosts := f.PoolHosts(pool, "")
		up := 0
		for _, h := range hosts {
			if !now.Before(s.awayUntil[h.Name()]) {
				up++
			}
		}
		capacity := float64(up*slots) * step.Seconds()
		arrived := demand[p][i] * step.Seconds()
		limit := max(0, capacity+float64(up*slots)*maxWait-s.backlog[p])
		accepted := min(arrived, limit)
		s.late += arrived - accepted
		s.work += arrived
		total := s.backlog[p] + accepted
		done := min(total, capacity)
		s.backlog[p] = total - done
		s.idleSlotSeconds += capacity - done
		s.slotSeconds += float64(len(hosts)*slots) * step.Seconds()
		s.meanDemand[p] += (demand[p][i] - s.meanDemand[p]) * step.Hours()
		samples[p] = plan.Sample{Pool: pool, Demand: demand[p][i], Hosts: len(hosts), Unavailable: len(hosts) - up}
	}
	return samples
}

// measureRollOut adds up the minimum duration of a wave at this time.
func (s *site) measureRollOut() {
	f, _ := s.book.Fleet()
	longest := 0.0
	for p, pool := range s.pools {
		n := float64(len(f.PoolHosts(pool, "")))
		spare := max(1, n-math.Ceil(s.meanDemand[p]/slots))
		longest = max(longest, math.Ceil(n/spare)*waveHostTime)
	}
	s.rollOutSum += longest
	s.measurements++
}

// move moves a host to another pool. The host is unavailable for moveTime.
func (s *site) move(now time.Time, host, to string) {
	f, _ := s.book.Fleet()
	r, _ := f.Record(rock.NewKey(rock.KindHost, host))
	h, _ := f.Host(host)
	var i int
	_, _ = fmt.Sscanf(host, "h%02d", &i)
	s.moves++
	p := rock.Proposal{ID: fmt.Sprint("move-", s.moves), Records: []rock.Record{
		newRecord(rock.KindHost, host, hostBody(i, s.zones, to, h.Generation()+1)).WithVersion(r.Version()),
	}}
	if _, err := s.book.Change(context.Background(), now, p); err != nil {
		panic(err)
	}
	s.awayUntil[host] = now.Add(moveTime)
}

// policy sizes the pools. It is called once a minute.
type policy func(now time.Time, s *site, samples []plan.Sample)

// static never moves a host.
func static(time.Time, *site, []plan.Sample) {}

// greedy distributes the hosts in proportion to the current demand of the pools.
func greedy(now time.Time, s *site, samples []plan.Sample) {
	total, hosts := 0.0, 0
	for _, x := range samples {
		total += x.Demand
		hosts += x.Hosts
	}
	f, _ := s.book.Fleet()
	var free []string
	want := make([]int, len(samples))
	for p, x := range samples {
		want[p] = max(1, int(float64(hosts)*x.Demand/total))
		for k, h := range f.PoolHosts(x.Pool, "") {
			if k >= want[p] {
				free = append(free, h.Name())
			}
		}
	}
	for p, x := range samples {
		for n := x.Hosts; n < want[p] && len(free) > 0; n++ {
			s.move(now, free[0], x.Pool)
			free = free[1:]
		}
	}
}

// observingPolicy is a policy that also observes every sample.
type observingPolicy struct {
	observe func(now time.Time, x plan.Sample)
	decide  policy
}

// plannedPolicy makes the moves that a [plan.Planner] proposes.
func plannedPolicy(w plan.Weights) observingPolicy {
	p := plan.New(plan.Settings{Weights: w})
	return observingPolicy{
		observe: p.Observe,
		decide: func(now time.Time, s *site, _ []plan.Sample) {
			f, _ := s.book.Fleet()
			for _, m := range p.Moves(now, f) {
				s.move(now, m.Host(), m.To())
				p.RecordMove(now, m)
			}
		},
	}
}

// run simulates the day and returns its results. If failures is true, the four hosts of
// a rack fail for an hour.
func (s *site) run(demand []load, o observingPolicy, failures bool) plan.Tradeoff {
	for i := range demand[0] {
		now := start.Add(time.Duration(i) * step)
		if failures && i == int(10*time.Hour/step) {
			for k := range 4 {
				s.awayUntil[fmt.Sprintf("h%02d", 8+k)] = now.Add(time.Hour)
			}
		}
		samples := s.serve(now, demand, i)
		for _, x := range samples {
			if o.observe != nil {
				o.observe(now, x)
			}
		}
		if i%int(time.Minute/step) == 0 {
			s.measureRollOut()
			o.decide(now, s, samples)
		}
	}
	f, _ := s.book.Fleet()
	return plan.Tradeoff{
		Hosts: len(f.Records(rock.KindHost)), IdleShare: s.idleSlotSeconds / s.slotSeconds, LateShare: s.late / s.work,
		Moves: s.moves, RollOutSeconds: s.rollOutSum / float64(s.measurements),
	}
}
