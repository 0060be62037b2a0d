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

	// writeMu is held during a write, so that writes do not overlap.
	writeMu sync.Mutex

	mu           sync.Mutex
	state        rock.EntryState
	versionKnown bool   // whether version is believed to be the row's
	version      uint64 // of the row, if versionKnown
	lastReport   Report
	lastState    rock.EntryState
	writtenAt    time.Time // of the last write, zero before the first
	fenced       bool
}

func newWriter(s Settings) *writer {
	return &writer{settings: s, state: rock.EntryRunning}
}

func (w *writer) registered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.writtenAt.IsZero()
}

func (w *writer) setState(state rock.EntryState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = state
}

// writeIfNeeded writes the row if the state or the report has changed, or if the
// last write is WriteInterval ago.
func (w *writer) writeIfNeeded(ctx context.Context) error {
	if !w.needsWrite(w.settings.Now(), w.settings.Report()) {
		return nil
	}
	return w.write(ctx)
}

func (w *writer) needsWrite(now time.Time, r Report) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writtenAt.IsZero() ||
		w.state != w.lastState ||
		r.Revision != w.lastReport.Revision ||
		!maps.Equal(r.InFlight, w.lastReport.InFlight) ||
		now.Sub(w.writtenAt) >= w.settings.WriteInterval
}

// write writes the row. It first reads the row if its version is not known. After a
// failed write the version is not known, since the write may have taken effect.
func (w *writer) write(ctx context.Context) error {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, w.settings.CallTimeout)
	defer cancel()
	if err := w.readVersion(ctx); err != nil {
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
	w.lastReport, w.lastState, w.writtenAt = report, state, now
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

// readVersion reads the entry's row if its version is not known, and checks that
// no other incarnation has taken the row over.
func (w *writer) readVersion(ctx context.Context) error {
	w.mu.Lock()
	known, fenced := w.versionKnown, w.fenced
	w.mu.Unlock()
	if fenced {
		return w.fencedError()
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
	w.versionKnown, w.version = true, row.Version()
	return nil
}

// checkOwner returns an error if the row belongs to a newer incarnation, or if
// another process has marked this incarnation as gone.
func (w *writer) checkOwner(row rock.Row) error {
	s, err := parseRow(row)
	if err != nil {
		w.settings.Log.WithError(err).Warn("cannot decode own status row, replacing it")
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
	return w.fencedError()
}

func (w *writer) declaredGone(s rock.EntryStatus) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.State() == rock.EntryGone && w.state != rock.EntryGone
}

func (w *writer) forgetVersion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versionKnown = false
}

func (w *writer) fencedError() error {
	return rock.Fail("write status", "entry "+w.settings.Self.Name(), rock.Fenced, rock.NotRun).
		Becausef("a newer incarnation than %s holds the row", w.settings.Self.Incarnation())
}

// remove deletes the row of a stopped entry, on condition that its state is still
// gone.
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
