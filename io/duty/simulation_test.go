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

// tick is the step of simulated time.
const tick = 250 * time.Millisecond

var simulationStart = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// simulationOptions are the variants of a site.
type simulationOptions struct {
	seed         uint64
	records      []rock.Record
	silentFor    time.Duration // counts out entries that are silent for that long
	fenceAfter   time.Duration
	noRecheck    bool
	order        wave.Order
	unregistered bool
	listed       bool
}

// simulation is a platform, its duties, its entries and its targets in simulated
// time.
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

// guard holds the guard of a proposal against the platform's table.
func (s *simulation) guard(t rock.Transaction) error {
	var check rock.Transaction
	for _, c := range t.Conditions() {
		check.Require(c.Key(), c.Version())
	}
	return s.platform.Commit(context.Background(), check)
}

// killPoint ends the duty's holder at its step of that number.
type killPoint struct {
	step  int
	every int // if set, at every so many steps after that
	kill  func(s *simulation, p rock.Proposal)
}

// matches reports whether the step with that number, from 0 on, is one of them.
func (k killPoint) matches(n int) bool {
	if k.every > 0 {
		return n%k.every == k.step
	}
	return n == k.step
}

// delayingChanger holds some proposals back, as if their holder were frozen before
// it sent them.
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

// silentEntryFilter leaves silent entries out, if the variant says so.
type silentEntryFilter struct{ site *simulation }

func (v silentEntryFilter) Statuses(now time.Time) []rock.EntryStatus {
	rows := v.site.registry.Statuses(now)
	if v.site.options.silentFor == 0 {
		return rows
	}
	var heard []rock.EntryStatus
	for _, r := range rows {
		if now.Sub(r.At()) < v.site.options.silentFor {
			heard = append(heard, r)
		}
	}
	return heard
}

// addEntry starts an entry.
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

// advance lets every entry poll, renew and report, and the duty runners work.
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
			// A failed round is tried again; outcomes are judged by their effects.
			_ = s.runners[s.currentRunner].RunOnce(context.Background())
		}
	}
	s.now = s.now.Add(tick)
	s.floor.Tick(s.now)
	s.publishLeases()
}

// publishLeases tells the platform at each tick what the targets run, so that its
// list is true of the time that it names.
func (s *simulation) publishLeases() {
	for _, name := range s.hostNames {
		s.platform.SetLeases(name, s.floor.Leases(name))
	}
}

// replaceHolder ends the runner whose turn it is and starts another.
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

// deliverLate sends the oldest proposal that was held back.
func (s *simulation) deliverLate() {
	if len(s.delayed) == 0 {
		return
	}
	p := s.delayed[0]
	s.delayed = s.delayed[1:]
	_, _ = s.book.Change(context.Background(), s.now, p)
}

// record returns a record of schema version 1.
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

// eachSeed runs the test for the seeds of all schedules.
func eachSeed(t *testing.T, run func(seed uint64) string) {
	t.Helper()
	for seed := range uint64(*schedules) {
		if broken := run(seed); broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
	}
}
