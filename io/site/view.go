package site

import (
	"maps"
	"slices"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"
)

// view is what the entry knows of the site. It is safe for concurrent use.
type view struct {
	mu      sync.Mutex
	config  *works.Config
	version uint64
	workers map[string]rock.Worker
	// workersRead is true once the registrations were read.
	workersRead bool
	waves       map[string]rock.MaintenanceWave
	// waveSeenAt is when a wave was first read.
	waveSeenAt map[string]time.Time
	cells      map[string]*cellView
	ownedCells int
	// answeredSince is since when the platform has answered every call, and
	// answeredAt when it last did.
	answeredSince time.Time
	answeredAt    time.Time
	// failedParts holds the parts that have not answered since then.
	failedParts map[string]bool
	// renewalsSince is since when the renewals of cells have been heard.
	renewalsSince time.Time
	stopping      bool
	listeners     []func()
}

// cellView is what the entry knows of a cell.
type cellView struct {
	pool       string
	challenger tenure.Challenger
	// renewal is the newest renewal that tells of the cell's load.
	renewal   renewal
	renewalAt time.Time
	owned     bool
	// readingHomes is true while unknown homes are read, readAt when that last began.
	readingHomes bool
	homesReadAt  time.Time
	// releasedAt is when this entry gave the cell up because it ran late.
	releasedAt time.Time
}

func newView() *view {
	return &view{workers: map[string]rock.Worker{}, waves: map[string]rock.MaintenanceWave{}, waveSeenAt: map[string]time.Time{}, failedParts: map[string]bool{}, cells: map[string]*cellView{}}
}

// subscribe calls f after every change of the configuration, the workers or the
// waves, and returns a function that ends it.
func (v *view) subscribe(f func()) (end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i := len(v.listeners)
	v.listeners = append(v.listeners, f)
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.listeners[i] = nil
	}
}

// notify calls the listeners.
func (v *view) notify() {
	v.mu.Lock()
	list := slices.Clone(v.listeners)
	v.mu.Unlock()
	for _, f := range list {
		if f != nil {
			f()
		}
	}
}

// setConfig puts a configuration in force unless a newer one is. It reports
// whether it did.
func (v *view) setConfig(c works.Config, version uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config != nil && version <= v.version {
		return false
	}
	v.config, v.version = &c, version
	for _, p := range c.Pools {
		if cell := cellOf(p.Name); v.cells[cell] == nil {
			v.cells[cell] = &cellView{pool: p.Name}
		}
	}
	return true
}

// current returns the configuration in force, or nil.
func (v *view) current() *works.Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config
}

// queuesOf returns the configured queues.
func (v *view) queues() []works.Queue {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config == nil {
		return nil
	}
	return v.config.Queues
}

// setWorkers replaces all registrations.
func (v *view) setWorkers(all map[string]rock.Worker) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.workers, v.workersRead = all, true
}

// setWorker changes one registration; nil removes it.
func (v *view) setWorker(id string, w *rock.Worker) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if w == nil {
		delete(v.workers, id)
		return
	}
	v.workers[id] = *w
}

// listWorkers returns the registered workers, and false if they were not read
// yet.
func (v *view) listWorkers() ([]rock.Worker, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Values(v.workers)), v.workersRead
}

// recordAnswer notes whether the platform answered a call.
func (v *view) recordAnswer(now time.Time, ok bool) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	was := !v.answeredSince.IsZero()
	if !ok {
		v.answeredSince = time.Time{}
		return was
	}
	v.answeredAt = now
	clear(v.failedParts)
	if !was {
		v.answeredSince = now
	}
	return !was
}

// outagePartCount is the number of parts that fail without any answer in between from
// which the whole table is taken for failing. With a third of the parts down that
// many fail in a row in one case out of 81.
const outagePartCount = 4

// recordPartFailure notes that a part has not answered. It reports whether the table is
// taken for failing from now on.
func (v *view) recordPartFailure(part string) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failedParts[part] = true
	if len(v.failedParts) < outagePartCount || v.answeredSince.IsZero() {
		return false
	}
	v.answeredSince = time.Time{}
	return true
}

// tableSilence returns how long the platform has not answered, and whether its last
// call failed.
func (v *view) tableSilence(now time.Time) (silent time.Duration, failing bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.answeredAt), v.answeredSince.IsZero()
}

// recordRenewalRead notes whether the platform answered a call about the renewals of
// cells.
func (v *view) recordRenewalRead(now time.Time, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !ok:
		v.renewalsSince = time.Time{}
	case v.renewalsSince.IsZero():
		v.renewalsSince = now
	}
}

// renewalsReadSince returns since when the renewals of cells have been heard.
func (v *view) renewalsReadSince() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.renewalsSince
}

// withCell calls f with what is known of a cell, if it is configured.
func (v *view) withCell(cell string, f func(*cellView)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.cells[cell]; c != nil {
		f(c)
	}
}

// cellNames returns the names of the configured cells, in order.
func (v *view) cellNames() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Sorted(maps.Keys(v.cells))
}

// ownsAnyCell reports whether the entry owns a cell.
func (v *view) ownsAnyCell() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ownedCells > 0
}

// invalidateWorkers notes that the registrations are not followed.
func (v *view) invalidateWorkers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.workersRead = false
}

// setOwned notes whether the entry owns the cell.
func (v *view) setOwned(cell string, owned bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.cells[cell]
	if c == nil || c.owned == owned {
		return
	}
	c.owned = owned
	if owned {
		v.ownedCells++
	} else {
		v.ownedCells--
	}
}

// setWave notes a wave that is asked for.
func (v *view) setWave(name string, w rock.MaintenanceWave, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waves[name] = w
	if v.waveSeenAt[name].IsZero() {
		v.waveSeenAt[name] = now
	}
}

// listWaves returns the waves that are asked for and when they were first
// seen.
func (v *view) listWaves() (map[string]rock.MaintenanceWave, map[string]time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.waves), maps.Clone(v.waveSeenAt)
}
