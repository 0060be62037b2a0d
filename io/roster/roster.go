package roster

import (
	"context"
	"errors"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
)

// Roster writes the entry's own status row and reads those of all entries. It
// is safe for concurrent use.
type Roster struct {
	settings Settings
	writer   *writer
	wake     chan struct{}

	mu     sync.Mutex
	rows   []rock.EntryStatus
	readAt time.Time
}

// New returns a roster. [Roster.Run] keeps it up to date.
func New(s Settings) *Roster {
	s = s.withDefaults()
	return &Roster{settings: s, writer: newWriter(s), wake: make(chan struct{}, 1)}
}

// Run writes and reads rows until ctx ends. It returns a [rock.Fenced] failure
// if the entry was replaced.
func (r *Roster) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("write status", r.keepWriting)
	g.Go("read statuses", r.keepReading)
	return g.Wait()
}

// NotifyChange makes the roster look at the report at once.
func (r *Roster) NotifyChange() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Registered reports whether this incarnation's row was written at least once.
// Until then no duty knows that the entry may place work.
func (r *Roster) Registered() bool { return r.writer.registered() }

// Announce sets the entry's state and writes it at once.
func (r *Roster) Announce(ctx context.Context, state rock.EntryState) error {
	r.writer.setState(state)
	return r.writer.write(ctx)
}

// Statuses reads the status rows of all registered entries.
func (r *Roster) Statuses(ctx context.Context) ([]rock.EntryStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	rows, err := scan(ctx, r.settings.Table)
	if err != nil {
		return nil, err
	}
	r.settings.Scope.Counter("reads").Inc(1)
	statuses, unreadable := parse(rows)
	for _, err := range unreadable {
		r.settings.Log.WithError(err).Warn("status row not readable")
	}
	r.mu.Lock()
	r.rows, r.readAt = statuses, r.settings.Now()
	r.mu.Unlock()
	return statuses, nil
}

// LastRead returns the status rows as last read, and when that was.
func (r *Roster) LastRead() ([]rock.EntryStatus, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rows, r.readAt
}

func (r *Roster) keepWriting(ctx context.Context) error {
	ticker := time.NewTicker(r.settings.CheckInterval)
	defer ticker.Stop()
	for {
		err := r.writer.writeIfDue(ctx)
		if rock.ReasonOf(err) == rock.Fenced {
			return err
		}
		if err != nil && ctx.Err() == nil {
			r.settings.Log.WithError(err).Debug("status not written")
			r.settings.Scope.Counter("write_failed").Inc(1)
		}
		select {
		case <-ticker.C:
		case <-r.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Roster) keepReading(ctx context.Context) error {
	ticker := time.NewTicker(r.settings.ReadInterval)
	defer ticker.Stop()
	for {
		r.readOnce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Roster) readOnce(ctx context.Context) {
	statuses, err := r.Statuses(ctx)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			r.settings.Log.WithError(err).Debug("statuses not read")
			r.settings.Scope.Counter("read_failed").Inc(1)
		}
		return
	}
	if r.settings.OnStatuses != nil {
		r.settings.OnStatuses(statuses)
	}
	r.removeGone(ctx, statuses)
}

// removeGone deletes rows of entries that said long ago that they stopped.
func (r *Roster) removeGone(ctx context.Context, statuses []rock.EntryStatus) {
	now := r.settings.Now()
	for _, s := range statuses {
		if s.State() != rock.EntryGone || now.Sub(s.At()) < r.settings.GoneRetention {
			continue
		}
		if err := r.writer.remove(ctx, s); err != nil {
			r.settings.Log.WithError(err).WithField("entry", s.Member().Name()).Debug("row not removed")
		}
	}
}
