package duty_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/core/trace"
	"bramleyrock/io/duty"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
)

// newMoveSimulation returns a simulation of two zones with moves between pools,
// by default two of them for the same host.
func newMoveSimulation(o simulationOptions) *simulation {
	if o.records == nil {
		o.records = moveRecords()
	}
	s := newSimulation(o)
	s.addEntry("a1", "a", "10.0.1.1:7000")
	s.addEntry("a2", "a", "10.0.1.2:7000")
	s.addEntry("b1", "b", "10.0.2.1:7000")
	for _, e := range s.entries {
		e.Poll(s.now)
		e.Report(s.now)
		e.Poll(s.now)
	}
	return s
}

func moveRecords() []rock.Record {
	records := []rock.Record{
		newRecord(rock.KindBudget, "tins", `{"pool":"tins","min_available":1}`),
		newMove("m1", "h0", "tins", "lids"), newMove("m2", "h0", "tins", "caps"),
		newMove("m3", "h1", "tins", "lids"), newMove("m4", "h4", "lids", "tins"),
	}
	for i := range 6 {
		zone, pool := "a", "tins"
		if i >= 3 {
			pool = "lids"
		}
		if i%3 == 2 {
			zone = "b"
		}
		records = append(records, newHost(fmt.Sprintf("h%d", i), zone, zone+"1", pool))
	}
	return records
}

// injectFault causes or repairs one random fault.
func (s *simulation) injectFault() {
	i := s.random.IntN(len(s.entries))
	e := s.entries[i]
	m := e.Member()
	switch s.random.IntN(11) {
	case 0:
		e.Freeze()
	case 1, 2:
		e.Thaw()
	case 3:
		e.Cut(true)
	case 4, 5:
		e.Cut(false)
	case 6:
		s.replace(i, m.Name(), m.Address())
	case 7:
		s.startCount++
		s.addEntryUpToLimit(fmt.Sprintf("%s%d", m.Zone(), s.startCount+1), m.Zone(), fmt.Sprintf("10.0.9.%d:7000", s.startCount))
	case 8:
		s.book.LoseAnswers(1)
	case 10:
		s.disconnectHalf(m.Zone())
	case 9:
		s.platform.SetFaults(depot.Faults{LoseAnswers: 1})
	}
}

// disconnectHalf disconnects every second entry of the zone from the platform.
func (s *simulation) disconnectHalf(zone string) {
	for i, e := range s.entries {
		if e.Member().Zone() == zone && i%2 == 0 {
			e.Cut(true)
		}
	}
}

// replace kills an entry and starts another one at its address.
func (s *simulation) replace(i int, name, address string) {
	zone := s.entries[i].Member().Zone()
	s.entries[i].Kill()
	s.entries = append(s.entries[:i], s.entries[i+1:]...)
	s.startEntry(name, zone, address)
}

// addEntryUpToLimit starts a further entry unless there are six.
func (s *simulation) addEntryUpToLimit(name, zone, address string) {
	if len(s.entries) < 6 {
		s.startEntry(name, zone, address)
	}
}

// startEntry starts an entry. In half of all cases it cannot reach the platform
// and adopts the configuration of a peer in its zone.
func (s *simulation) startEntry(name, zone, address string) {
	e := s.addEntry(name, zone, address)
	if s.random.IntN(2) == 0 {
		e.Poll(s.now)
		e.Report(s.now)
		e.Poll(s.now)
		return
	}
	e.Cut(true)
	for _, peer := range s.entries {
		if peer != e && peer.Member().Zone() == zone {
			e.Adopt(peer)
		}
	}
}

// runTasks performs three random task operations: choosing a host, sending a task
// or finishing one, each at a random entry.
func (s *simulation) runTasks() {
	for range 3 {
		e := s.entries[s.random.IntN(len(s.entries))]
		pool := []string{"tins", "lids", "caps"}[s.random.IntN(3)]
		switch s.random.IntN(3) {
		case 0:
			if e.Choose(s.now, pool) && s.faulty && s.random.IntN(20) == 0 {
				e.Freeze()
			}
		case 1:
			e.Send(s.now)
		case 2:
			e.Finish(s.now)
		}
	}
}

// endFaults ends all faults and drops the delayed proposals.
func (s *simulation) endFaults() {
	s.faulty, s.delayOdds, s.delayed = false, 0, nil
	for _, e := range s.entries {
		e.Thaw()
		e.Cut(false)
	}
}

// unfinishedMoves returns the moves that have not ended.
func (s *simulation) unfinishedMoves() []string {
	f, _ := s.book.Fleet()
	var unfinished []string
	for _, r := range f.Records(rock.KindMove) {
		if m, err := record.MoveSpecOf(r); err != nil || !m.State.Ended() {
			unfinished = append(unfinished, fmt.Sprintf("%s: %s", r.Key(), m.State))
		}
	}
	return unfinished
}

// waiting returns what the runners report as waiting.
func (s *simulation) waiting() []duty.Waiting {
	var all []duty.Waiting
	for _, r := range s.runners {
		all = append(all, r.Status(s.now)...)
	}
	return all
}

const (
	faultTicks    = 300
	recoveryTicks = 1200
)

// recordEvents returns a log with the present hosts and budgets, to which later
// changes of hosts, moves and waves are added.
func (s *simulation) recordEvents() *trace.Log {
	log := &trace.Log{}
	f, _ := s.book.Fleet()
	for _, r := range f.Records(rock.KindHost) {
		h, _ := f.Host(r.Key().Name())
		log.Add(trace.Event{At: s.now, Kind: trace.HostAdded, Host: h.Name(), Pool: h.Pool(), Zone: h.Zone(), Rack: h.Rack()})
	}
	for _, r := range f.Records(rock.KindBudget) {
		if b, err := record.As[record.Budget](r); err == nil {
			need := b.MinAvailable().MinHosts(len(f.PoolHosts(b.Pool(), "")))
			log.Add(trace.Event{At: s.now, Kind: trace.BudgetSet, Pool: b.Pool(), MinAvailable: need})
		}
	}
	s.book.Accepted(func(c rock.Change) {
		for _, e := range c.Edits() {
			logEdit(log, c, e)
		}
	})
	return log
}

func logEdit(log *trace.Log, c rock.Change, e rock.Edit) {
	if e.From() == nil || e.To() == nil {
		return
	}
	at, name := c.At(), e.Key().Name()
	switch e.Key().Kind() {
	case rock.KindMove:
		if m, err := record.MoveSpecOf(*e.To()); err == nil {
			log.Add(trace.Event{At: at, Kind: trace.MoveState, Move: name, Host: m.Host, Pool: m.From, To: m.To, State: string(m.State)})
		}
	case rock.KindWave:
		if w, err := record.WaveSpecOf(*e.To()); err == nil {
			log.Add(trace.Event{At: at, Kind: trace.WaveState, Wave: name, State: string(w.State)})
		}
	case rock.KindHost:
		was, _ := record.HostSpecOf(*e.From())
		is, _ := record.HostSpecOf(*e.To())
		switch {
		case was.Open && !is.Open:
			log.Add(trace.Event{At: at, Kind: trace.HostClosed, Host: name})
		case !was.Open && is.Open:
			log.Add(trace.Event{At: at, Kind: trace.HostAdded, Host: name, Pool: is.Pool, Zone: is.Zone, Rack: is.Rack})
		}
	}
}

// moveTrace runs one random schedule of moves under faults and returns its trace.
func moveTrace(o simulationOptions) *trace.Log {
	s := newMoveSimulation(o)
	log := s.recordEvents()
	s.floor.Record(log)
	s.runFaults()
	return log
}

// recordDir is the directory for recorded traces.
var recordDir = flag.String("record", "", "directory to which recorded traces are written")

// writeTrace writes the trace to a file of that name if -record is set.
func writeTrace(t *testing.T, log *trace.Log, h trace.Header, name string) {
	t.Helper()
	if *recordDir == "" {
		return
	}
	var out bytes.Buffer
	assert.NilError(t, log.WriteTrace(&out, h))
	assert.NilError(t, os.WriteFile(filepath.Join(*recordDir, name+".jsonl"), out.Bytes(), 0o644))
}

// TestMoveTrace checks that under random faults no host runs tasks of two pools
// and no budget is violated, by the outcomes of package trace.
func TestMoveTrace(t *testing.T) {
	outcomes, err := trace.Select("one_pool_per_host", "budget_holds")
	assert.NilError(t, err)
	for seed := range uint64(10) {
		log := moveTrace(simulationOptions{seed: seed})
		assert.Equal(t, fmt.Sprint(trace.Check(log.Events(), outcomes)), "[]", "seed %d", seed)
		if seed == 1 {
			writeTrace(t, log, trace.Header{
				Name: "moves under faults", Seed: seed, Outcomes: []string{"one_pool_per_host", "budget_holds"},
				Command: "go test ./io/duty -run TestMoveTrace -record DIR",
			}, "moves")
		}
	}
}

// TestRecordedTraces checks the traces that were recorded last.
func TestRecordedTraces(t *testing.T) {
	for _, name := range []string{"moves", "wave-zarqa", "wave-blespind"} {
		t.Run(name, func(t *testing.T) {
			file, err := os.Open(filepath.Join("testdata", name+".jsonl"))
			assert.NilError(t, err)
			defer func() { assert.NilError(t, file.Close()) }()
			header, events, err := trace.Read(file)
			assert.NilError(t, err)
			outcomes, err := trace.Select(header.Outcomes...)
			assert.NilError(t, err)
			assert.Assert(t, len(events) > 50)
			assert.Equal(t, fmt.Sprint(trace.Check(events, outcomes)), "[]")
		})
	}
}

// runMoveSchedule runs one random schedule of moves under faults and returns the
// first violation, or "".
func runMoveSchedule(o simulationOptions) string {
	s := newMoveSimulation(o)
	s.runFaults()
	if v := s.floor.Violations(); len(v) > 0 {
		return v[0]
	}
	if m := s.unfinishedMoves(); len(m) > 0 && o.silentFor == 0 {
		return fmt.Sprintf("moves did not end after the faults: %v, waiting %v", m, s.waiting())
	}
	return s.checkGenerations()
}

// runFaults runs the simulation under faults, ends them, and continues until all
// moves have ended or recoveryTicks have passed.
func (s *simulation) runFaults() {
	s.faulty, s.delayOdds = true, 6
	for range faultTicks {
		if s.random.IntN(12) == 0 {
			s.injectFault()
		}
		if s.random.IntN(10) == 0 {
			s.deliverLate()
		}
		s.runTasks()
		s.advance()
	}
	s.endFaults()
	for i := 0; i < recoveryTicks && len(s.unfinishedMoves()) > 0; i++ {
		s.runTasks()
		s.advance()
	}
}

// checkGenerations describes a host whose generation does not match the number of
// its completed moves, or that is closed.
func (s *simulation) checkGenerations() string {
	f, _ := s.book.Fleet()
	moved := map[string]uint64{}
	for _, r := range f.Records(rock.KindMove) {
		if m, err := record.MoveSpecOf(r); err == nil && m.State == record.MoveDone {
			moved[m.Host]++
		}
	}
	for _, r := range f.Records(rock.KindHost) {
		name := r.Key().Name()
		if h, _ := f.Host(name); h.Generation() != 1+moved[name] || !h.Open() {
			return fmt.Sprintf("host %s has generation %d after %d moves, open %v", name, h.Generation(), moved[name], h.Open())
		}
	}
	return ""
}

// TestMoverDiesAtEveryStep guards against a move that is lost or applied twice when
// its holder dies. The holder is ended at each step, before or after the change is
// committed, or its change is delayed until another holder has continued.
func TestMoverDiesAtEveryStep(t *testing.T) {
	deaths := map[string]func(s *simulation, p rock.Proposal){
		"before the effect": func(s *simulation, _ rock.Proposal) { s.removeHolder() },
		"after the effect": func(s *simulation, p rock.Proposal) {
			_, err := s.book.Change(context.Background(), s.now, p)
			assert.NilError(t, err)
			s.removeHolder()
		},
		"frozen until later": func(s *simulation, p rock.Proposal) {
			s.delayed = append(s.delayed, p)
			s.removeHolder()
		},
	}
	const moveSteps = 4
	for name, kill := range deaths {
		for step := 1; step <= moveSteps; step++ {
			t.Run(fmt.Sprintf("%s of step %d", name, step), func(t *testing.T) {
				s := newMoveSimulation(simulationOptions{records: []rock.Record{newHost("h0", "a", "a1", "tins"), newMove("m1", "h0", "tins", "lids")}})
				s.killAt = &killPoint{step: step - 1, kill: kill}
				for i := 0; i < recoveryTicks && len(s.unfinishedMoves()) > 0; i++ {
					s.advance()
				}
				s.deliverLate()
				f, _ := s.book.Fleet()
				h, _ := f.Host("h0")
				assert.Equal(t, len(s.unfinishedMoves()), 0)
				assert.Equal(t, h.Pool(), "lids")
				assert.Equal(t, h.Generation(), uint64(2))
				assert.Assert(t, h.Open())
				assert.Equal(t, len(s.runners), 2, "one holder must have died")
			})
		}
	}
}

// removeHolder ends the runner that is running its duties.
func (s *simulation) removeHolder() {
	s.runners = append(s.runners[:s.currentRunner], s.runners[s.currentRunner+1:]...)
}

// TestOnePoolPerHost guards against a host that runs tasks of two pools, and
// against moves that never end, under random faults.
func TestOnePoolPerHost(t *testing.T) {
	eachSeed(t, func(seed uint64) string { return runMoveSchedule(simulationOptions{seed: seed}) })
}

// weakerRules holds variants of the protocol that leave out one safety rule each.
var weakerRules = map[string]simulationOptions{
	"silent entries excluded after 10 s":              {silentFor: 10 * time.Second},
	"excluded after 10 s, with self-fencing":          {silentFor: 10 * time.Second, fenceAfter: 5 * time.Second},
	"host not checked again before sending":           {noRecheck: true},
	"placing before the first status row":             {unregistered: true},
	"placing without reading the configuration again": {listed: true},
}

// BenchmarkWeakerRules counts the schedules that fail under each weaker rule.
func BenchmarkWeakerRules(b *testing.B) {
	for name, o := range weakerRules {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				broken := 0
				for seed := range uint64(*schedules) {
					o.seed = seed
					if runMoveSchedule(o) != "" {
						broken++
					}
				}
				b.ReportMetric(float64(broken), "broken")
				b.ReportMetric(float64(*schedules), "schedules")
			}
		})
	}
}

// script is a sequence of events that causes a violation under one weaker rule.
type script struct {
	// before runs before the move, and after runs once the move has ended or a
	// minute has passed.
	before, after func(s *simulation)
}

// scripts holds the script for each weaker rule.
var scripts = map[string]script{
	"silent entries excluded after 10 s":     {chooseAndFreeze, thawAndSend},
	"excluded after 10 s, with self-fencing": {chooseAndFreeze, thawAndSend},
	"host not checked again before sending": {
		before: func(s *simulation) { s.entries[0].Choose(s.now, "tins") },
		after:  func(s *simulation) { s.entries[0].Send(s.now) },
	},
	"placing before the first status row": {
		before: startDisconnected,
		after:  func(s *simulation) { s.entries[2].Choose(s.now, "tins"); s.entries[2].Send(s.now) },
	},
	"placing without reading the configuration again": {
		before: startDisconnected,
		after: func(s *simulation) {
			s.entries[2].Cut(false)
			s.entries[2].Report(s.now)
			s.entries[2].Choose(s.now, "tins")
			s.entries[2].Send(s.now)
		},
	},
}

func chooseAndFreeze(s *simulation) {
	s.entries[0].Choose(s.now, "tins")
	s.entries[0].Freeze()
}

func thawAndSend(s *simulation) {
	s.entries[0].Thaw()
	s.entries[0].Send(s.now)
}

func startDisconnected(s *simulation) {
	e := s.addEntry("a3", "a", "10.0.1.3:7000")
	e.Cut(true)
	e.Adopt(s.entries[0])
}

// runScript runs the script around a move of the only host of pool tins.
func runScript(o simulationOptions, c script) *simulation {
	o.records = []rock.Record{newHost("h0", "a", "a1", "tins"), newMove("m1", "h0", "tins", "lids")}
	s := newSimulation(o)
	s.addEntry("a1", "a", "10.0.1.1:7000")
	s.addEntry("a2", "a", "10.0.1.2:7000")
	for _, e := range s.entries {
		e.Poll(s.now)
		e.Report(s.now)
		e.Poll(s.now)
	}
	s.log = s.recordEvents()
	s.floor.Record(s.log)
	c.before(s)
	for end := s.now.Add(time.Minute); s.now.Before(end) && len(s.unfinishedMoves()) > 0; {
		s.advance()
	}
	s.entries[1].Poll(s.now)
	s.entries[1].Choose(s.now, "lids")
	s.entries[1].Send(s.now)
	s.now = s.now.Add(2 * tick)
	c.after(s)
	s.now = s.now.Add(2 * time.Second)
	s.floor.Tick(s.now)
	return s
}

// TestWeakerRulesBreakOnePoolPerHost checks that each safety rule is needed: when
// it is left out a host runs tasks of two pools, and otherwise it does not.
func TestWeakerRulesBreakOnePoolPerHost(t *testing.T) {
	for name, c := range scripts {
		t.Run(name, func(t *testing.T) {
			outcomes, err := trace.Select("one_pool_per_host")
			assert.NilError(t, err)
			weak, strict := runScript(weakerRules[name], c), runScript(simulationOptions{}, c)
			assert.Assert(t, len(weak.floor.Violations()) > 0, "the weaker rule broke nothing")
			assert.Assert(t, len(trace.Check(weak.log.Events(), outcomes)) > 0, "the trace shows nothing broken")
			assert.DeepEqual(t, strict.floor.Violations(), []string(nil))
			assert.Equal(t, len(trace.Check(strict.log.Events(), outcomes)), 0)
		})
	}
}

// TestSilentEntryHoldsUpAMove checks that a move waits for an entry that stopped
// reporting, and that the status names this entry.
func TestSilentEntryHoldsUpAMove(t *testing.T) {
	s := runScript(simulationOptions{}, scripts["excluded after 10 s, with self-fencing"])
	waits := s.waiting()
	assert.Equal(t, len(waits), 1)
	assert.Equal(t, waits[0].Subject(), "move/m1")
	assert.Assert(t, strings.HasPrefix(waits[0].WaitsFor(), "entry a1, last heard at 2026-12-04T06:00:00Z, to learn that host h0 is closed"))
	assert.Assert(t, !waits[0].Since().IsZero())
}
