package books

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/feed"
	"bramleyrock/core/ring"
)

// maxHints is the greatest number of queued hints.
const maxHints = 64

// Books stores the configuration of one entry. It is safe for concurrent use.
type Books struct {
	settings Settings
	feed     feed.Settings
	state    atomic.Pointer[state]
	hints    *ring.Ring[hint]
	// commitSlot holds an item while a goroutine commits a batch.
	commitSlot chan struct{}

	// mu guards the fields below, and stores to state.
	mu            sync.Mutex
	recentChanges changeBuffer
	// changed is closed and replaced when a configuration is put in force.
	changed chan struct{}
	queue   []*pending
	random  *rand.Rand
}

var (
	_ rock.Changer     = (*Books)(nil)
	_ rock.FleetSource = (*Books)(nil)
)

// New returns books without a configuration.
func New(s Settings) *Books {
	s = s.withDefaults()
	b := &Books{
		settings:   s,
		feed:       feed.Settings{Codec: s.Codec, BootstrapDigest: s.BootstrapDigest},
		hints:      ring.New[hint](maxHints),
		commitSlot: make(chan struct{}, 1),
		changed:    make(chan struct{}),
		random:     rand.New(rand.NewPCG(s.Seed, 0)),
	}
	b.state.Store(&state{config: b.feed.Empty()})
	return b
}

// Fleet implements [rock.FleetSource].
func (b *Books) Fleet() (rock.Fleet, bool) {
	s := b.state.Load()
	return s.config, s.known
}

// Config returns the configuration in force; it is empty if none is known yet.
func (b *Books) Config() *feed.Config { return b.state.Load().config }

// Revision returns the revision in force, or 0 if none is known yet.
func (b *Books) Revision() rock.Revision { return b.Config().Revision() }

// Confirmed reports whether the platform's table has reached the revision in
// force. It is false while that revision is known from peers only.
func (b *Books) Confirmed() bool {
	s := b.state.Load()
	return s.known && s.config.Revision() <= s.highestHead && s.platformContacted
}

// Watch returns a channel that is closed when the next configuration is put in
// force, the first one included.
func (b *Books) Watch() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Changes returns up to limit changes after the revision, for a peer that lags
// behind. If some of them are no longer held in memory, it returns a
// [rock.NotFound] failure.
func (b *Books) Changes(after rock.Revision, limit int) ([]rock.Change, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.state.Load(); after >= s.config.Revision() {
		return nil, nil
	}
	changes, ok := b.recentChanges.after(after, limit)
	if !ok {
		return nil, rock.Fail("read", "changes", rock.NotFound, rock.NotRun).
			Becausef("the changes after revision %d are no longer held", after)
	}
	return changes, nil
}

// Snapshot returns all records in force and their revision, for a peer that has
// no configuration or lags far behind. It returns an [rock.Unavailable] failure
// if no configuration is known yet.
func (b *Books) Snapshot() (rock.Revision, []rock.Record, error) {
	s := b.state.Load()
	if !s.known {
		return 0, nil, rock.Fail("read", "snapshot", rock.Unavailable, rock.NotRun).
			Becausef("no configuration is known yet")
	}
	return s.config.Revision(), s.config.All(), nil
}

// putInForce makes next the configuration in force and reports true, unless a
// newer one or the same revision is in force already. Changes are those that
// lead to next, or nil if they are not known.
func (b *Books) putInForce(next *feed.Config, changes []rock.Change) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.state.Load()
	if old.known && next.Revision() <= old.config.Revision() {
		return false
	}
	b.recentChanges.add(after(changes, old.config.Revision()))
	b.state.Store(&state{config: next, known: true, platformContacted: old.platformContacted, highestHead: old.highestHead})
	close(b.changed)
	b.changed = make(chan struct{})
	b.reportInForce(next, changes)
	return true
}

// after returns the changes with a greater revision than r.
func after(changes []rock.Change, r rock.Revision) []rock.Change {
	for len(changes) > 0 && changes[0].Revision() <= r {
		changes = changes[1:]
	}
	return changes
}

// reportInForce logs that next was put in force and updates the metrics.
func (b *Books) reportInForce(next *feed.Config, changes []rock.Change) {
	now := b.settings.Now()
	for _, c := range changes {
		b.settings.Scope.Timer("force_delay").Record(now.Sub(c.At()))
	}
	b.settings.Scope.Counter("changes").Inc(int64(len(changes)))
	b.settings.Scope.Gauge("revision").Update(float64(next.Revision()))
	log := b.settings.Log.WithField("revision", next.Revision())
	if n := len(next.DecodeErrors()); n > 0 {
		log.WithField("records", n).Warn("Some records cannot be read by this program.")
	}
	log.Debug("Configuration is in force.")
}

// recordHead records the revision that was read from, or written to, the
// platform's row head.
func (b *Books) recordHead(head rock.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.state.Load()
	next := *old
	next.highestHead = max(old.highestHead, head)
	next.platformContacted = true
	if next != *old {
		b.state.Store(&next)
	}
}

// withCallTimeout returns a context for one call of the platform or a peer.
func (b *Books) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, b.settings.CallTimeout)
}

// jitter returns a random duration between 0.8 and 1.2 times d.
func (b *Books) jitter(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(d) * (0.8 + 0.4*b.random.Float64()))
}

// randomUpTo returns a random duration between 0 and d.
func (b *Books) randomUpTo(d time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(d) * b.random.Float64())
}

// sleep waits for d. It returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
