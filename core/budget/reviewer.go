package budget

import (
	"maps"
	"slices"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Reviewer implements [rock.Reviewer]. It is safe for concurrent use.
type Reviewer struct {
	maxAge time.Duration

	mu         sync.Mutex
	listReadAt time.Time
	states     map[string]rock.HostState
	cache      map[string]cachedBudget
}

// cachedBudget is the body of one version of a budget's record.
type cachedBudget struct {
	version uint64
	body    record.Budget
}

var _ rock.Reviewer = (*Reviewer)(nil)

// New returns a reviewer that has not seen the platform's list yet; until it
// has, it refuses all voluntary steps.
func New(s Settings) *Reviewer {
	if s.MaxListAge <= 0 {
		s.MaxListAge = defaultMaxAge
	}
	return &Reviewer{maxAge: s.MaxListAge, cache: map[string]cachedBudget{}}
}

// Observe takes the platform's list of hosts as read at the time now.
func (r *Reviewer) Observe(now time.Time, hosts []rock.HostStatus) {
	states := make(map[string]rock.HostState, len(hosts))
	for _, h := range hosts {
		states[h.Name()] = h.State()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listReadAt, r.states = now, states
}

// Age returns how long ago the list was read.
func (r *Reviewer) Age(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.listReadAt)
}

// Takes reports whether the edits take a host away from a pool, as far as can
// be said without the list.
func (r *Reviewer) Takes(before rock.Fleet, edits []rock.Edit) bool {
	l := projection{before: before, after: map[string]*record.HostSpec{}}
	return l.addEdits(edits) == nil && len(l.removedHosts()) > 0
}

// decode returns the body of a budget that is in force. The caller holds the
// lock.
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

// Review implements [rock.Reviewer]. The failure of a step that would break a
// budget has reason [rock.BudgetExceeded] and says how many hosts are
// available and needed.
func (r *Reviewer) Review(now time.Time, before rock.Fleet, edits []rock.Edit) error {
	r.mu.Lock()
	seenAt, states := r.listReadAt, r.states
	r.mu.Unlock()
	b := projection{before: before, states: states, after: map[string]*record.HostSpec{}}
	if err := b.addEdits(edits); err != nil {
		return err
	}
	taken := b.removedHosts()
	for _, pool := range slices.Sorted(maps.Keys(taken)) {
		budgets, err := b.budgets(pool, edits)
		if err != nil {
			return err
		}
		if len(budgets) == 0 {
			continue
		}
		if age := now.Sub(seenAt); age > r.maxAge {
			return rock.Fail("review", "host "+taken[pool][0].Name(), rock.Unavailable, rock.NotRun).
				Becausef("the platform's list of hosts was not read for %s: want at most %s", age.Round(time.Second), r.maxAge)
		}
		for _, g := range budgets {
			if err := b.check(pool, taken[pool], g); err != nil {
				return err
			}
		}
	}
	return nil
}
