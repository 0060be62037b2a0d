package budget

import (
	"maps"
	"slices"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Reviewer refuses changes that violate availability budgets. It implements
// [rock.Reviewer] and is safe for concurrent use.
type Reviewer struct {
	maxListAge time.Duration

	mu         sync.Mutex
	listReadAt time.Time
	states     map[string]rock.HostState
	cache      map[string]cachedBudget
}

// cachedBudget is the decoded body of one version of a budget's record.
type cachedBudget struct {
	version uint64
	body    record.Budget
}

var _ rock.Reviewer = (*Reviewer)(nil)

// New returns a reviewer. Until [Reviewer.Observe] is called for the first time,
// it refuses all changes that take a host away from a pool with a budget.
func New(s Settings) *Reviewer {
	if s.MaxListAge <= 0 {
		s.MaxListAge = defaultMaxListAge
	}
	return &Reviewer{maxListAge: s.MaxListAge, cache: map[string]cachedBudget{}}
}

// Observe records the platform's list of hosts, which was read at the time now.
// It replaces the list of an earlier call.
func (r *Reviewer) Observe(now time.Time, hosts []rock.HostStatus) {
	states := make(map[string]rock.HostState, len(hosts))
	for _, h := range hosts {
		states[h.Name()] = h.State()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listReadAt, r.states = now, states
}

// ListAge returns how long before now the platform's list of hosts was read.
func (r *Reviewer) ListAge(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.listReadAt)
}

// RemovesHosts reports whether the edits take an open host away from a pool. It ignores
// the platform's list, so that it also counts hosts that are listed as gone.
func (r *Reviewer) RemovesHosts(before rock.Fleet, edits []rock.Edit) bool {
	p := projection{before: before, after: map[string]*record.HostSpec{}}
	return p.addEdits(edits) == nil && len(p.removedHosts()) > 0
}

// decode returns the body of a budget that is in force, from the cache if the
// version is the same. The caller holds r.mu.
func (r *Reviewer) decode(rec rock.Record) (record.Budget, error) {
	name := rec.Key().Name()
	if k, ok := r.cache[name]; ok && k.version == rec.Version() {
		return k.body, nil
	}
	b, err := record.As[record.Budget](rec)
	if err == nil {
		r.cache[name] = cachedBudget{rec.Version(), b}
	}
	return b, err
}

// Review implements [rock.Reviewer]. The failure of a change that would violate a
// budget has the reason [rock.BudgetExceeded] and says how many hosts would be
// available or away and how many the budget allows. If the platform's list of
// hosts is older than [Settings.MaxListAge], the reason is [rock.Unavailable]; if
// a record cannot be decoded, it is [rock.BadInput].
func (r *Reviewer) Review(now time.Time, before rock.Fleet, edits []rock.Edit) error {
	r.mu.Lock()
	listReadAt, states := r.listReadAt, r.states
	r.mu.Unlock()
	p := projection{before: before, states: states, after: map[string]*record.HostSpec{}}
	if err := p.addEdits(edits); err != nil {
		return err
	}
	removed := p.removedHosts()
	for _, pool := range slices.Sorted(maps.Keys(removed)) {
		budgets, err := p.budgets(pool, edits)
		if err != nil {
			return err
		}
		if len(budgets) == 0 {
			continue
		}
		if age := now.Sub(listReadAt); age > r.maxListAge {
			return rock.Fail("review", "host "+removed[pool][0].Name(), rock.Unavailable, rock.NotRun).
				Becausef("the platform's list of hosts was not read for %s: want at most %s", age.Round(time.Second), r.maxListAge)
		}
		for _, b := range budgets {
			if err := p.check(pool, removed[pool], b); err != nil {
				return err
			}
		}
	}
	return nil
}
