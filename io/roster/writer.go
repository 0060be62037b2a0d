package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	rock "bramleyrock"
)

// writer writes the entry's own row.
type writer struct {
	settings Settings

	// writing makes writes follow one another.
	writing sync.Mutex

	mu      sync.Mutex
	state   rock.EntryState
	known   bool   // whether version is that of the row
	version uint64 // of the row as last seen
	written Report
	last    rock.EntryState
	at      time.Time // of the last write, zero before the first
	fenced  bool
}

func newWriter(s Settings) *writer {
	return &writer{settings: s, state: rock.EntryRunning}
}

func (w *writer) registered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.at.IsZero()
}

func (w *writer) setState(state rock.EntryState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

// writeIfDue writes the row if the report changed or the row grows old.
func (w *writer) writeIfDue(ctx context.Context) error {
	if !w.due(w.settings.Now(), w.settings.Report()) {
		return nil
	}
	return w.write(ctx)
}

func (w *writer) due(now time.Time, r Report) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.at.IsZero() ||
		w.state != w.last ||
		r.Revision != w.written.Revision ||
		!maps.Equal(r.InFlight, w.written.InFlight) ||
		now.Sub(w.at) >= w.settings.WriteInterval
}

// write writes the row now. It reads the row first if its version is not known.
func (w *writer) write(ctx context.Context) error {
	w.writing.Lock()
	defer w.writing.Unlock()
	ctx, cancel := context.WithTimeout(ctx, w.settings.CallTimeout)
	defer cancel()
	if err := w.learnVersion(ctx); err != nil {
		return err
	}
	now := w.settings.Now()
	report := w.settings.Report()
	report.InFlight = maps.Clone(report.InFlight)
	w.mu.Lock()
	state, version := w.state, w.version
	w.mu.Unlock()
	status := rock.NewEntryStatus(w.settings.Self, state, report.Revision, now, report.InFlight)
	if err := w.commit(ctx, status, version); err != nil {
		w.forgetVersion()
		return err
	}
	w.settings.Scope.Counter("writes").Inc(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.written, w.last, w.at = report, state, now
	return nil
}

func (w *writer) commit(ctx context.Context, s rock.EntryStatus, version uint64) error {
	value, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode status: %w", err)
	}
	key := keyOf(s.Member().Name())
	var t rock.Transaction
	t.Require(key, version)
	t.Put(key, value)
	if err := w.settings.Table.Commit(ctx, t); err != nil {
		return fmt.Errorf("write status row: %w", err)
	}
	return nil
}

// learnVersion reads the own row if its version is not known, and checks that
// the row was not taken over.
func (w *writer) learnVersion(ctx context.Context) error {
	w.mu.Lock()
	known, fenced := w.known, w.fenced
	w.mu.Unlock()
	if fenced {
		return w.fencedFailure()
	}
	if known {
		return nil
	}
	rows, err := w.settings.Table.Read(ctx, keyOf(w.settings.Self.Name()))
	if err != nil {
		return fmt.Errorf("read own status row: %w", err)
	}
	row := rows[0]
	if row.Exists() {
		if err := w.checkOwner(row); err != nil {
			return err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known, w.version = true, row.Version()
	return nil
}

// checkOwner returns a failure if the row belongs to a newer incarnation, or
// if somebody else declared this one gone.
func (w *writer) checkOwner(row rock.Row) error {
	s, err := parseRow(row)
	if err != nil {
		w.settings.Log.WithError(err).Warn("own row not readable, it is replaced")
		return nil
	}
	own := w.settings.Self.Incarnation()
	theirs := s.Member().Incarnation()
	if theirs < own || theirs == own && !w.declaredGone(s) {
		return nil
	}
	w.mu.Lock()
	first := !w.fenced
	w.fenced = true
	w.mu.Unlock()
	if first {
		w.settings.Log.WithField("by", theirs).Error("row was taken over by a newer incarnation")
		if w.settings.OnFenced != nil {
			w.settings.OnFenced(s)
		}
	}
	return w.fencedFailure()
}

func (w *writer) declaredGone(s rock.EntryStatus) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.State() == rock.EntryGone && w.state != rock.EntryGone
}

func (w *writer) forgetVersion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known = false
}

func (w *writer) fencedFailure() error {
	return rock.Fail("write status", "entry "+w.settings.Self.Name(), rock.Fenced, rock.NotRun).
		Becausef("a newer incarnation than %s holds the row", w.settings.Self.Incarnation())
}

// remove deletes the row of a gone entry, on condition that it still says so.
func (w *writer) remove(ctx context.Context, s rock.EntryStatus) error {
	ctx, cancel := context.WithTimeout(ctx, w.settings.CallTimeout)
	defer cancel()
	key := keyOf(s.Member().Name())
	rows, err := w.settings.Table.Read(ctx, key)
	if err != nil {
		return fmt.Errorf("read row of gone entry: %w", err)
	}
	current, err := parseRow(rows[0])
	if err != nil || !rows[0].Exists() || current.State() != rock.EntryGone {
		return err
	}
	var t rock.Transaction
	t.Require(key, rows[0].Version())
	t.Delete(key)
	if err := w.settings.Table.Commit(ctx, t); err != nil {
		return fmt.Errorf("remove row of gone entry: %w", err)
	}
	return nil
}
