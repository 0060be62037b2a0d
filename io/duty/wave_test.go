package duty_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/core/trace"
	"bramleyrock/core/wave"

	"gotest.tools/v3/assert"
)

// waveTimeout is the longest simulated time of a wave.
const waveTimeout = 6 * time.Hour

// maxRollOutRatio is the largest allowed ratio of a wave's duration to the lower
// bound.
const maxRollOutRatio = 1.15

// TestWaveOverEveryHost checks that a wave restarts each host exactly once, violates
// no budget, interrupts no task, and takes at most maxRollOutRatio times the lower
// bound.
func TestWaveOverEveryHost(t *testing.T) {
	t.Parallel()
	for name, d := range deployments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newWaveSimulation(d, simulationOptions{seed: 1, records: d.records(fleetHosts)})
			log := s.recordEvents()
			took := s.run(record.WaveDone, waveTimeout, nil)
			assert.Equal(t, s.state(), record.WaveDone)
			assert.Equal(t, s.check(), "")
			assert.Assert(t, len(log.Events()) > 2*fleetHosts)
			outcomes, err := trace.Select("budget_holds")
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(trace.Check(log.Events(), outcomes)), "[]")
			writeTrace(t, log, trace.Header{Name: "wave of " + name, Seed: 1, Outcomes: []string{"budget_holds"},
				Command: "go test ./io/duty -run TestWaveOverEveryHost -record DIR"}, "wave-"+name)
			assert.Assert(t, took.Seconds() <= maxRollOutRatio*s.bound().Seconds(), "took %v, bound %v", took, s.bound())
		})
	}
}

// oneAtATime selects one host, and only if no other host is away.
func oneAtATime(s *waveSimulation) wave.Order {
	return func(c []wave.Candidate) []wave.Candidate {
		if s.progress().Away() > 0 || len(c) == 0 {
			return nil
		}
		return c[:1]
	}
}

// fixedBatches selects batches of as many hosts as max_parallel allows, and none
// while a host of the last batch is away.
func fixedBatches(s *waveSimulation) wave.Order {
	return func(c []wave.Candidate) []wave.Candidate {
		if s.progress().Away() > 0 {
			return nil
		}
		return wave.ByRack(c)
	}
}

// BenchmarkRollOut measures the roll-out time and its ratio to the lower bound, and
// the same for the baselines of one host at a time and fixed batches.
func BenchmarkRollOut(b *testing.B) {
	orders := map[string]func(s *waveSimulation) wave.Order{
		"by domain":     func(*waveSimulation) wave.Order { return wave.ByRack },
		"one at a time": oneAtATime,
		"fixed batches": fixedBatches,
	}
	for name, d := range deployments {
		for order, choose := range orders {
			b.Run(name+"/"+order, func(b *testing.B) {
				for b.Loop() {
					var s *waveSimulation
					s = newWaveSimulation(d, simulationOptions{
						seed: 1, records: d.records(fleetHosts),
						order: func(c []wave.Candidate) []wave.Candidate { return choose(s)(c) },
					})
					took := s.run(record.WaveDone, waveTimeout, nil)
					if broken := s.check(); broken != "" {
						b.Fatal(broken)
					}
					b.ReportMetric(took.Seconds(), "roll-out-s")
					b.ReportMetric(took.Seconds()/s.bound().Seconds(), "of-bound")
				}
			})
		}
	}
}

// TestWaveHolderDiesAtEveryStep guards against hosts that are restarted twice or
// left out when the holder of a wave dies or freezes. The holder is ended at every
// third step, beginning at the first, second or third, so that each step is
// covered by one of the runs.
func TestWaveHolderDiesAtEveryStep(t *testing.T) {
	t.Parallel()
	d := deployment{3, []string{"tins", "lids"}}
	deaths := map[string]func(s *simulation, p rock.Proposal){
		"killed before the effect": func(s *simulation, _ rock.Proposal) { s.replaceHolder() },
		"killed after the effect": func(s *simulation, p rock.Proposal) {
			_, err := s.book.Change(context.Background(), s.now, p)
			assert.NilError(t, err)
			s.replaceHolder()
		},
		"frozen until later": func(s *simulation, p rock.Proposal) {
			s.delayed = append(s.delayed, p)
			s.replaceHolder()
		},
	}
	for name, kill := range deaths {
		for first := range 3 {
			t.Run(fmt.Sprintf("%s from step %d", name, first+1), func(t *testing.T) {
				t.Parallel()
				s := newWaveSimulation(d, simulationOptions{seed: 2, records: d.small(12)})
				s.killAt = &killPoint{every: 3, step: first, kill: kill}
				s.run(record.WaveDone, waveTimeout, s.deliverLate)
				assert.Equal(t, s.state(), record.WaveDone)
				assert.Equal(t, s.check(), "")
				assert.Assert(t, s.proposalCount >= 3*12)
			})
		}
	}
}

// TestWavePausesOnCorrelatedFailure guards against a wave that closes more hosts of
// a pool that has lost a rack or a zone. It must wait until the hosts are back and
// then complete without an operator.
func TestWavePausesOnCorrelatedFailure(t *testing.T) {
	t.Parallel()
	d := deployments["zarqa"]
	failed := map[string]func(h rock.Host) bool{
		"rack": func(h rock.Host) bool { return h.Rack() == "b4" },
		"zone": func(h rock.Host) bool { return h.Zone() == "b" },
	}
	for name, fails := range failed {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newWaveSimulation(d, simulationOptions{seed: 3, records: d.records(fleetHosts)})
			s.run(record.WaveDone, 5*time.Minute, nil)
			before := s.progress()
			assert.Assert(t, before.Done() > 0 && before.Done() < fleetHosts)
			s.failHosts(fails, true)
			s.run(record.WaveDone, 4*time.Minute, nil)
			startedBefore := s.countStarted(fails)
			s.run(record.WaveDone, 8*time.Minute, nil)
			assert.Equal(t, s.countStarted(fails), startedBefore, "the wave closed hosts of the affected pools")
			s.failHosts(fails, false)
			s.run(record.WaveDone, waveTimeout, nil)
			assert.Equal(t, s.state(), record.WaveDone)
			assert.Equal(t, s.cutTasks, 0)
		})
	}
}

// TestWavePauseResumeAbort checks that a paused or aborted wave reopens the hosts
// that it has closed and closes no others, and that a resumed one continues.
func TestWavePauseResumeAbort(t *testing.T) {
	t.Parallel()
	d := deployment{4, []string{"tins", "lids"}}
	s := newWaveSimulation(d, simulationOptions{seed: 4, records: d.fleet(20, 20)})
	s.run(record.WaveDone, 5*time.Minute, nil)
	s.setState(t, record.WavePaused)
	s.run(record.WaveDone, 6*time.Minute, nil)
	paused := s.progress()
	assert.Equal(t, paused.Away(), 0)
	s.run(record.WaveDone, 5*time.Minute, nil)
	assert.Equal(t, s.progress(), paused, "a paused wave went on")
	s.setState(t, record.WaveRunning)
	s.run(record.WaveDone, 5*time.Minute, nil)
	assert.Assert(t, s.progress().Done() > paused.Done())
	s.setState(t, record.WaveAborted)
	s.run(record.WaveDone, 6*time.Minute, nil)
	assert.Equal(t, s.progress().Away(), 0)
	assert.Equal(t, s.cutTasks, 0)
	assert.Equal(t, s.budgetViolation, "")
}

// setState changes the state of the wave, as an operator would.
func (s *waveSimulation) setState(t *testing.T, state record.WaveState) {
	t.Helper()
	f, _ := s.book.Fleet()
	r, _ := f.Record(rock.NewKey(rock.KindWave, "w1"))
	w, err := record.WaveSpecOf(r)
	assert.NilError(t, err)
	w.State = state
	r, err = record.Rewrite(r, w)
	assert.NilError(t, err)
	_, err = s.book.Change(context.Background(), s.now, rock.Proposal{ID: fmt.Sprint(state, r.Version()), Records: []rock.Record{r}})
	assert.NilError(t, err)
}

// failHosts makes the selected hosts fail, or recover if gone is false.
func (s *waveSimulation) failHosts(fails func(h rock.Host) bool, gone bool) {
	for _, h := range s.hosts() {
		if fails(h) {
			s.platform.SetGone(h.Name(), gone)
			s.floor.Reboot(h.Name())
		}
	}
}

func (s *waveSimulation) hosts() []rock.Host {
	f, _ := s.book.Fleet()
	var all []rock.Host
	for _, p := range s.pools {
		all = append(all, f.PoolHosts(p, "")...)
	}
	return all
}

// countStarted returns how many hosts the wave has closed so far in the pools that
// contain failing hosts.
func (s *waveSimulation) countStarted(fails func(h rock.Host) bool) int {
	affected := map[string]bool{}
	for _, h := range s.hosts() {
		if fails(h) {
			affected[h.Pool()] = true
		}
	}
	f, _ := s.book.Fleet()
	started := 0
	for _, h := range s.hosts() {
		r, _ := f.Record(rock.NewKey(rock.KindHost, h.Name()))
		if b, err := record.HostSpecOf(r); err == nil && affected[h.Pool()] && b.Maintenance != nil {
			started++
		}
	}
	return started
}
