package depot

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	rock "bramleyrock"

	"github.com/google/uuid"
	"golang.org/x/time/rate"
)

// Depot is a platform in memory. It is safe for concurrent use.
type Depot struct {
	settings Settings

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	stats    Stats
	writes   *rate.Limiter
	reads    *rate.Limiter
	rows     map[string]rock.Row
	versions map[string]uint64
	objects  map[string][]byte
	hosts    map[string]*host
	// instance tells the cursors of this stand-in from those of others.
	instance string
	change   uint64
}

// New returns an empty platform.
func New(s Settings) *Depot {
	s = s.withDefaults()
	return &Depot{
		settings: s,
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
		writes:   newLimiter(s.WritesPerSecond),
		reads:    newLimiter(s.ReadsPerSecond),
		rows:     map[string]rock.Row{},
		versions: map[string]uint64{},
		objects:  map[string][]byte{},
		hosts:    map[string]*host{},
		instance: uuid.NewString(),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the switches.
func (d *Depot) SetFaults(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.WritesPerSecond != d.faults.WritesPerSecond {
		d.writes = newLimiter(either(f.WritesPerSecond, d.settings.WritesPerSecond))
	}
	if f.ReadsPerSecond != d.faults.ReadsPerSecond {
		d.reads = newLimiter(either(f.ReadsPerSecond, d.settings.ReadsPerSecond))
	}
	d.faults = f
}

// either returns a, or b if a is 0.
func either(a, b float64) float64 {
	if a != 0 {
		return a
	}
	return b
}

// Faults returns the switches.
func (d *Depot) Faults() Faults {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults
}

// Stats returns the counters.
func (d *Depot) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stats
}

// enter applies the faults that hit every call. An error means that the call
// did not happen.
func (d *Depot) enter(ctx context.Context, op, subject string) error {
	f := d.Faults()
	if f.Down {
		return rock.Fail(op, subject, rock.Unavailable, rock.NotRun).Becausef("platform is down")
	}
	if err := wait(ctx, time.Duration(f.SlowMS)*time.Millisecond); err != nil {
		return failContext(op, subject, rock.NotRun, err)
	}
	return nil
}

// wait returns nil after the duration, or the cause if ctx ends before.
func wait(ctx context.Context, length time.Duration) error {
	if length <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(length)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// failContext returns the failure of a call whose context ended.
func failContext(op, subject string, v rock.Verdict, err error) error {
	reason := rock.Cancelled
	if errors.Is(err, context.DeadlineExceeded) {
		reason = rock.DeadlineExceeded
	}
	return rock.Fail(op, subject, reason, v).Because(err)
}

// charge takes n calls from a rate. The caller holds the lock.
func (d *Depot) charge(l *rate.Limiter, counter *uint64, n int, op, subject string) error {
	n = max(1, n)
	if b := l.Burst(); b > 0 {
		n = min(n, b)
	}
	now := d.settings.Now()
	if !l.AllowN(now, n) {
		d.stats.Throttled++
		need := (float64(n) - l.TokensAt(now)) / float64(l.Limit())
		return rock.Fail(op, subject, rock.Unavailable, rock.NotRun).
			RetryIn(time.Duration(need*float64(time.Second))).
			Becausef("platform's rate of %.0f a second is used up", float64(l.Limit()))
	}
	*counter += uint64(n)
	return nil
}
