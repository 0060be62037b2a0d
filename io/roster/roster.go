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
	checkNow chan struct{}

	mu       sync.Mutex
	statuses []rock.EntryStatus
	readAt   time.Time
}

// New returns a roster. It writes and reads rows periodically only while
// [Roster.Run] runs.
func New(s Settings) *Roster {
	s = s.withDefaults()
	return &Roster{settings: s, writer: newWriter(s), checkNow: make(chan struct{}, 1)}
}

// Run writes and reads rows until ctx ends. It returns an error with the reason
// [rock.Fenced] if the entry was replaced.
func (r *Roster) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Go("write status", r.runWriter)
	g.Go("read statuses", r.runReader)
	return g.Wait()
}

// NotifyChange makes the roster check at once whether the report has changed.
func (r *Roster) NotifyChange() {
	select {
	case r.checkNow <- struct{}{}:
	default:
	}
}

// Registered reports whether this incarnation has written its row at least once.
// Until then the duties do not know that the entry may place tasks.
func (r *Roster) Registered() bool { return r.writer.registered() }

// Announce sets the entry's state and writes the row at once.
func (r *Roster) Announce(ctx context.Context, state rock.EntryState) error {
	r.writer.setState(state)
	return r.writer.write(ctx)
}

// Statuses reads the status rows of all registered entries. Rows that cannot be
// decoded are logged and left out.
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
		r.settings.Log.WithError(err).Warn("cannot decode status row")
	}
	r.mu.Lock()
	r.statuses, r.readAt = statuses, r.settings.Now()
	r.mu.Unlock()
	return statuses, nil
}

// LastRead returns the status rows as last read, and the time of that.
func (r *Roster) LastRead() ([]rock.EntryStatus, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.statuses, r.readAt
}

func (r *Roster) runWriter(ctx context.Context) error {
	ticker := time.NewTicker(r.settings.CheckInterval)
	defer ticker.Stop()
	for {
		err := r.writer.writeIfNeeded(ctx)
		if rock.ReasonOf(err) == rock.Fenced {
			return err
		}
		if err != nil && ctx.Err() == nil {
			r.settings.Log.WithError(err).Debug("cannot write status row")
			r.settings.Scope.Counter("write_failed").Inc(1)
		}
		select {
		case <-ticker.C:
		case <-r.checkNow:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Roster) runReader(ctx context.Context) error {
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
			r.settings.Log.WithError(err).Debug("cannot read status rows")
			r.settings.Scope.Counter("read_failed").Inc(1)
		}
		return
	}
	if r.settings.OnStatuses != nil {
		r.settings.OnStatuses(statuses)
	}
	r.removeGone(ctx, statuses)
}

// removeGone deletes the rows of entries that stopped more than GoneRetention ago.
func (r *Roster) removeGone(ctx context.Context, statuses []rock.EntryStatus) {
	now := r.settings.Now()
	for _, s := range statuses {
		if s.State() != rock.EntryGone || now.Sub(s.At()) < r.settings.GoneRetention {
			continue
		}
		if err := r.writer.remove(ctx, s); err != nil {
			r.settings.Log.WithError(err).WithField("entry", s.Member().Name()).Debug("cannot remove status row of stopped entry")
		}
	}
}
