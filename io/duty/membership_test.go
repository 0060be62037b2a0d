package duty_test

import (
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
)

// membershipRules holds the two ways to handle an entry that stops reporting: to
// wait for evidence that it has drained the host, or to exclude it after 10 s,
// with entries that place nothing once they have been cut off for 5 s.
var membershipRules = map[string]simulationOptions{
	"evidence":     {},
	"self-fencing": {silentFor: 10 * time.Second, fenceAfter: 5 * time.Second},
}

// outages holds the faults under which the rules are measured. Each function is
// called at every tick with the time since the start.
var outages = map[string]func(s *simulation, after time.Duration){
	"healthy": func(*simulation, time.Duration) {},
	"entry killed, replaced after 30 s": func(s *simulation, after time.Duration) {
		if after == 0 {
			s.entries[0].Kill()
		}
		if after == 30*time.Second {
			e := s.addEntry("a1", "a", "10.0.1.1:7000")
			s.entries[0] = e
			s.entries = s.entries[:3]
		}
	},
	"entry frozen for 60 s": func(s *simulation, after time.Duration) {
		if after == 0 {
			s.entries[0].Freeze()
		}
		if after == time.Minute {
			s.entries[0].Thaw()
		}
	},
	"zone cut off for 300 s": func(s *simulation, after time.Duration) {
		for _, e := range s.entries {
			e.Cut(after < 5*time.Minute)
		}
	},
}

// BenchmarkMembership measures under both rules how long a move of a host takes,
// and the share of tasks for which the running entries of the zone find no host.
func BenchmarkMembership(b *testing.B) {
	for rule, o := range membershipRules {
		for fault, outage := range outages {
			b.Run(rule+"/"+fault, func(b *testing.B) {
				for b.Loop() {
					moved, refused := measureMembership(o, outage)
					b.ReportMetric(moved.Seconds(), "move-s")
					b.ReportMetric(100*refused, "refused-%")
				}
			})
		}
	}
}

func measureMembership(o simulationOptions, outage func(s *simulation, after time.Duration)) (time.Duration, float64) {
	const runs, length = 50, 6 * time.Minute
	var moved time.Duration
	tried, refused := 0, 0
	for seed := range uint64(runs) {
		o.seed = seed
		o.records = []rock.Record{newMove("m1", "h0", "tins", "lids")}
		for i := range 4 {
			o.records = append(o.records, newHost(fmt.Sprintf("h%d", i), "a", "a1", "tins"))
		}
		s := newMoveSimulation(o)
		took := length
		for after := time.Duration(0); after < length; after += tick {
			outage(s, after)
			if e := s.entries[s.random.IntN(2)]; e.Running() {
				tried++
				if !e.Choose(s.now, "tins") {
					refused++
				}
				e.Send(s.now)
				e.Finish(s.now)
			}
			s.advance()
			if len(s.unfinishedMoves()) == 0 {
				took = min(took, after)
			}
		}
		moved += took / runs
	}
	return moved, float64(refused) / float64(tried)
}
