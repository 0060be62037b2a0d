package duty_test

import (
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/drain"
	"bramleyrock/core/move"
	"bramleyrock/core/plan"
	"bramleyrock/core/record"
	"bramleyrock/core/wave"
	"bramleyrock/io/fakes/fleet"

	"gotest.tools/v3/assert"
)

// costFleet is a fleet of a given size, for measuring how the costs of the duties
// grow with the number of hosts.
type costFleet struct {
	book     *fleet.Book
	reviewer *budget.Reviewer
	entries  []rock.EntryStatus
	hosts    []rock.HostStatus
	pools    []string
}

var costFleetSizes = []int{50, 500, 5500}

// newCostFleet returns n hosts, four per rack, in 8 zones and 27 pools, with one
// move and one wave over all pools.
func newCostFleet(n int) *costFleet {
	s := &costFleet{reviewer: budget.New(budget.Settings{})}
	var records []rock.Record
	names := ""
	for i := range 27 {
		p := fmt.Sprintf("p%02d", i)
		s.pools = append(s.pools, p)
		names += fmt.Sprintf(",%q", p)
		records = append(records,
			newRecord(rock.KindPool, p, `{"organisation":"alpha","spare":false}`),
			rock.NewRecord(rock.NewKey(rock.KindBudget, p), 2, 0, fmt.Appendf(nil, `{"pool":%q,"min_available":{"share":0.5}}`, p)))
	}
	for i := range n {
		name, rack := fmt.Sprintf("h%04d", i), i/4
		records = append(records, newHost(name, fmt.Sprintf("z%d", rack%8), fmt.Sprintf("r%d", rack), s.pools[i%27]))
		s.hosts = append(s.hosts, rock.NewHostStatus(name, rock.HostLive, 0, 1, simulationStart))
	}
	records = append(records, newMove("m1", "h0000", "p00", "p01"), newRecord(rock.KindWave, "w1",
		fmt.Sprintf(`{"pools":[%s],"action":"reboot","state":"running","max_parallel":%d}`, names[1:], n)))
	for i := range 24 {
		m := rock.NewMember(fmt.Sprintf("e%d", i), fmt.Sprintf("z%d", i%8), fmt.Sprintf("10.0.0.%d:7000", i), fmt.Sprint(i))
		s.entries = append(s.entries, rock.NewEntryStatus(m, rock.EntryRunning, 1, simulationStart, nil))
	}
	s.book = fleet.NewBook(s.reviewer, records...)
	s.reviewer.Observe(simulationStart, s.hosts)
	return s
}

// eachSize runs a benchmark for each of costFleetSizes.
func eachSize(b *testing.B, run func(b *testing.B, s *costFleet, f rock.Fleet)) {
	for _, n := range costFleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newCostFleet(n)
			f, _ := s.book.Fleet()
			b.ReportAllocs()
			run(b, s, f)
		})
	}
}

// BenchmarkView measures the indexing of the entries' rows and the platform's
// list, which every round needs.
func BenchmarkView(b *testing.B) {
	eachSize(b, func(b *testing.B, s *costFleet, _ rock.Fleet) {
		for b.Loop() {
			drain.NewView(s.entries, s.hosts, nil)
		}
	})
}

// BenchmarkMoveStep measures one step of a move, and the bytes of its change.
func BenchmarkMoveStep(b *testing.B) {
	eachSize(b, func(b *testing.B, s *costFleet, f rock.Fleet) {
		view := drain.NewView(s.entries, s.hosts, nil)
		r, _ := f.Record(rock.NewKey(rock.KindMove, "m1"))
		var step move.Step
		for b.Loop() {
			step = move.Next(simulationStart, f, r, view)
		}
		reportChange(b, step.Records())
	})
}

// BenchmarkWaveRound measures one round of a wave in one zone that closes as many
// hosts as the budgets allow.
func BenchmarkWaveRound(b *testing.B) {
	eachSize(b, func(b *testing.B, s *costFleet, f rock.Fleet) {
		view := drain.NewView(s.entries, s.hosts, nil)
		r, _ := f.Record(rock.NewKey(rock.KindWave, "w1"))
		var cache record.HostCache
		var steps []wave.Step
		for b.Loop() {
			p := wave.Plan{Now: simulationStart, Fleet: f, Zone: "z1", View: view, Headroom: s.reviewer.Headroom(simulationStart, f), Cache: &cache}
			steps = p.Steps(r)
		}
		reportChange(b, steps[0].Proposal("e1", rock.Transaction{}).Records)
		b.ReportMetric(float64(len(steps)), "steps")
	})
}

// BenchmarkReview measures the review of the closing of one host by all reviewers.
func BenchmarkReview(b *testing.B) {
	eachSize(b, func(b *testing.B, s *costFleet, f rock.Fleet) {
		from, _ := f.Record(rock.NewKey(rock.KindHost, "h0001"))
		h, err := record.HostSpecOf(from)
		assert.NilError(b, err)
		h.Open, h.ClosedBy = false, "wave/w1"
		to, err := record.Rewrite(from, h)
		assert.NilError(b, err)
		edits := []rock.Edit{rock.NewEdit(from.Key(), &from, &to)}
		all := rock.Reviewers{move.Reviewer{}, wave.Reviewer{}, s.reviewer}
		for b.Loop() {
			assert.NilError(b, all.Review(simulationStart, f, edits))
		}
	})
}

// BenchmarkPlanRound measures one round of the capacity planner over all pools.
func BenchmarkPlanRound(b *testing.B) {
	eachSize(b, func(b *testing.B, s *costFleet, f rock.Fleet) {
		p := plan.New(plan.Settings{})
		now := simulationStart
		for b.Loop() {
			now = now.Add(30 * time.Second)
			for i, pool := range s.pools {
				n := len(f.PoolHosts(pool, ""))
				p.Observe(now, plan.Sample{Pool: pool, Demand: float64(n * (3 + i%4)), Hosts: n})
			}
			p.Moves(now, f)
		}
	})
}

// BenchmarkMove measures the changes, the platform's reads and writes, and the
// simulated time of one whole move. A change counts as five rows.
func BenchmarkMove(b *testing.B) {
	for b.Loop() {
		s := newMoveSimulation(simulationOptions{seed: 1, records: []rock.Record{newHost("h0", "a", "a1", "tins"), newMove("m1", "h0", "tins", "lids")}})
		for len(s.unfinishedMoves()) > 0 {
			s.advance()
		}
		f, _ := s.book.Fleet()
		stats := s.platform.Stats()
		b.ReportMetric(float64(f.Revision()-1), "changes")
		b.ReportMetric(float64(stats.Reads), "lease-reads")
		b.ReportMetric(float64(stats.Writes), "lease-and-guard-writes")
		b.ReportMetric(float64(stats.Lists), "list-reads")
		b.ReportMetric(s.now.Sub(simulationStart).Seconds(), "move-s")
	}
}

// reportChange reports the number and the bytes of the records of a step.
func reportChange(b *testing.B, records []rock.Record) {
	n := 0
	for _, r := range records {
		n += len(r.Body())
	}
	b.ReportMetric(float64(n), "record-bytes")
	b.ReportMetric(float64(len(records)), "records")
}
