package duty_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/move"
	"bramleyrock/core/trace"
	"bramleyrock/core/wave"
	"bramleyrock/io/duty"
	"bramleyrock/io/fakes/crew"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/fakes/fleet"
)

var schedules = flag.Int("schedules", 25, "number of seeded schedules of each kind")

// tick is the increment of simulated time.
const tick = 250 * time.Millisecond

var simulationStart = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// simulationOptions selects a variant of the simulation.
type simulationOptions struct {
	seed    uint64
	records []rock.Record
	// silentFor excludes entries from the roster whose status row is older; 0
	// means never.
	silentFor time.Duration
	// fenceAfter makes entries stop placing when they have been cut off from the
	// platform for that long; 0 means never.
	fenceAfter time.Duration
	// noRecheck makes entries send without checking the host again.
	noRecheck bool
	order     wave.Order
	// unregistered makes entries place before their first status row is written.
	unregistered bool
	// listed makes entries place once their first status row is written, without
	// reading the configuration again.
	listed bool
}

// simulation is a platform with its entries, their duties and the targets, in
// simulated time.
type simulation struct {
	now            time.Time
	random         *rand.Rand
	options        simulationOptions
	platform       *depot.Depot
	reviewer       *budget.Reviewer
	book           *fleet.Book
	floor          *crew.Floor
	registry       *crew.Registry
	entries        []*crew.Entry
	runners        []*duty.Runner
	log            *trace.Log
	faulty         bool
	reportPromptly bool
	delayed        []rock.Proposal
	delayOdds      int
	startCount     int
	proposalCount  int
	currentRunner  int
	hostNames      []string // of all hosts
	killAt         *killPoint
	cutTasks       int
	reboots        map[string]int
}

func newSimulation(o simulationOptions) *simulation {
	s := &simulation{now: simulationStart, random: rand.New(rand.NewPCG(o.seed, 7)), options: o, reboots: map[string]int{}}
	s.floor, s.registry = crew.NewFloor(), crew.NewRegistry()
	s.platform = depot.New(depot.Settings{
		Seed: o.seed, WritesPerSecond: -1, ReadsPerSecond: -1, HostListLag: 2 * time.Second,
		RebootTime: rebootTime, Now: func() time.Time { return s.now },
		OnReboot: func(host, _ string) {
			s.cutTasks += s.floor.Reboot(host)
			s.reboots[host]++
		},
	})
	s.reviewer = budget.New(budget.Settings{})
	s.book = fleet.NewBook(rock.Reviewers{move.Reviewer{}, wave.Reviewer{}, duty.NewRefreshingReviewer(s.reviewer, s.platform)}, o.records...)
	s.book.Guard(s.guard)
	f, _ := s.book.Fleet()
	for _, r := range f.Records(rock.KindHost) {
		s.platform.AddHost(r.Key().Name(), "127.0.0.1:9000")
		s.hostNames = append(s.hostNames, r.Key().Name())
	}
	for _, name := range []string{"x1", "x2", "x3"} {
		s.runners = append(s.runners, s.newRunner(name))
	}
	return s
}

// guard checks the guard of a proposal against the platform's table.
func (s *simulation) guard(t rock.Transaction) error {
	var check rock.Transaction
	for _, c := range t.Conditions() {
		check.Require(c.Key(), c.Version())
	}
	return s.platform.Commit(context.Background(), check)
}

// killPoint ends the holder of a duty at the proposal with number step, from 0 on.
type killPoint struct {
	step  int
	every int // if set, the proposals with number step modulo every
	kill  func(s *simulation, p rock.Proposal)
}

// matches reports whether the holder is ended at proposal n.
func (k killPoint) matches(n int) bool {
	if k.every > 0 {
		return n%k.every == k.step
	}
	return n == k.step
}

// delayingChanger delays some proposals, as if their holder were frozen before it
// sent them, and ends the holder at the kill point.
type delayingChanger struct{ site *simulation }

func (l delayingChanger) Change(ctx context.Context, now time.Time, p rock.Proposal) (rock.Change, error) {
	s := l.site
	s.proposalCount++
	lost := rock.Fail("change", p.ID, rock.OutcomeUnknown, rock.MayHaveRun)
	if k := s.killAt; k != nil && k.matches(s.proposalCount-1) {
		s.killAt.kill(s, p)
		return rock.Change{}, lost
	}
	if s.delayOdds > 0 && s.random.IntN(s.delayOdds) == 0 {
		s.delayed = append(s.delayed, p)
		return rock.Change{}, lost
	}
	return s.book.Change(ctx, now, p)
}

func (l delayingChanger) FindChange(ctx context.Context, id string) (rock.Change, error) {
	return l.site.book.FindChange(ctx, id)
}

// silentEntryFilter is a roster that leaves out entries with old status rows if
// silentFor is set.
type silentEntryFilter struct{ site *simulation }

func (v silentEntryFilter) Statuses(now time.Time) []rock.EntryStatus {
	rows := v.site.registry.Statuses(now)
	if v.site.options.silentFor == 0 {
		return rows
	}
	var recent []rock.EntryStatus
	for _, r := range rows {
		if now.Sub(r.At()) < v.site.options.silentFor {
			recent = append(recent, r)
		}
	}
	return recent
}

// addEntry adds an entry that has not polled the configuration yet.
func (s *simulation) addEntry(name, zone, address string) *crew.Entry {
	s.startCount++
	e := crew.NewEntry(crew.Settings{
		Member: rock.NewMember(name, zone, address, fmt.Sprintf("%s-%d", name, s.startCount)),
		Source: s.book, Floor: s.floor, Registry: s.registry, Random: s.random,
		TaskTime: taskTime, FenceAfter: s.options.fenceAfter, NoRecheck: s.options.noRecheck, PlaceUnregistered: s.options.unregistered, PlaceListed: s.options.listed,
	})
	s.entries = append(s.entries, e)
	return e
}

// advance advances the time by one tick. Before that, entries and runners act at
// random: they poll, report, renew leases and run duties.
func (s *simulation) advance() {
	for _, e := range s.entries {
		if s.random.IntN(4) == 0 {
			e.Poll(s.now)
		}
		if s.random.IntN(8) == 0 || s.reportPromptly && e.Settled() {
			e.Report(s.now)
		}
		if s.random.IntN(20) == 0 {
			e.Renew(s.now)
		}
	}
	for s.currentRunner = len(s.runners) - 1; s.currentRunner >= 0; s.currentRunner-- {
		if s.random.IntN(4) == 0 {
			// Failed rounds are retried, and the tests check only their effects.
			_ = s.runners[s.currentRunner].RunOnce(context.Background())
		}
	}
	s.now = s.now.Add(tick)
	s.floor.Tick(s.now)
	s.publishLeases()
}

// publishLeases sends the leases at the targets to the platform, so that its host
// list is correct for the time that it states.
func (s *simulation) publishLeases() {
	for _, name := range s.hostNames {
		s.platform.SetLeases(name, s.floor.Leases(name))
	}
}

// replaceHolder ends the runner that is running its duties and starts another.
func (s *simulation) replaceHolder() {
	s.startCount++
	s.runners[s.currentRunner] = s.newRunner(fmt.Sprintf("x%d", s.startCount))
}

func (s *simulation) newRunner(name string) *duty.Runner {
	return duty.New(duty.Settings{
		Name: name, Table: s.platform, Changer: delayingChanger{s}, Fleet: s.book, HostList: s.platform,
		Roster: silentEntryFilter{s}, Budgets: s.reviewer, Order: s.options.order, Now: func() time.Time { return s.now },
	})
}

// deliverLate sends the oldest delayed proposal, if any.
func (s *simulation) deliverLate() {
	if len(s.delayed) == 0 {
		return
	}
	p := s.delayed[0]
	s.delayed = s.delayed[1:]
	_, _ = s.book.Change(context.Background(), s.now, p)
}

// newRecord returns a record of schema version 1.
func newRecord(kind rock.Kind, name, body string) rock.Record {
	return rock.NewRecord(rock.NewKey(kind, name), 1, 0, []byte(body))
}

func newHost(name, zone, rack, pool string) rock.Record {
	return newRecord(rock.KindHost, name, fmt.Sprintf(
		`{"address":"127.0.0.1:90%s","zone":%q,"rack":%q,"pool":%q,"generation":1,"slots":8,"open":true}`, name[1:], zone, rack, pool))
}

func newMove(name, host, from, to string) rock.Record {
	return newRecord(rock.KindMove, name, fmt.Sprintf(`{"host":%q,"from":%q,"to":%q,"state":"wanted"}`, host, from, to))
}

// eachSeed runs the test with as many seeds as -schedules says, and fails with the
// first violation that run returns.
func eachSeed(t *testing.T, run func(seed uint64) string) {
	t.Helper()
	for seed := range uint64(*schedules) {
		if broken := run(seed); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
	}
}
