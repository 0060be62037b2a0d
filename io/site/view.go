package site

import (
	"maps"
	"slices"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/intake"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"
)

// view holds what the entry knows of the cells, workers and waves. It is safe for
// concurrent use.
type view struct {
	mu      sync.Mutex
	config  *works.Config
	version uint64
	workers map[string]rock.Worker
	// workersRead is true while workers holds the current registrations.
	workersRead bool
	waves       map[string]rock.MaintenanceWave
	// waveSeenAt is when a wave was first read.
	waveSeenAt map[string]time.Time
	cells      map[string]*cellView
	ownedCells int
	// answeredSince is since when the platform has answered every call, or zero while
	// it does not. answeredAt is when it last answered.
	answeredSince time.Time
	answeredAt    time.Time
	// failedParts holds the parts that have failed since the last answer.
	failedParts map[string]bool
	// renewalsSince is since when the reads of renewals have all been answered.
	renewalsSince time.Time
	stopping      bool
	listeners     []func()
}

// cellView holds what the entry knows of a cell.
type cellView struct {
	pool       string
	challenger tenure.Challenger
	// renewal is the newest renewal that contains the cell's load.
	renewal   renewal
	renewalAt time.Time
	// gate decides whether jobs of the cell are accepted.
	gate  intake.Gate
	owned bool
	// readingHomes is true while unknown homes are read. homesReadAt is when the last
	// such read began.
	readingHomes bool
	homesReadAt  time.Time
	// releasedAt is when this entry released the cell because it ran late.
	releasedAt time.Time
	// checkedSince is when the entry first checked whether to acquire the cell, and
	// stalledLoggedAt when it last logged that the cell is not taken.
	checkedSince    time.Time
	stalledLoggedAt time.Time
}

// newView returns a view that knows nothing.
func newView() *view {
	return &view{workers: map[string]rock.Worker{}, waves: map[string]rock.MaintenanceWave{}, waveSeenAt: map[string]time.Time{}, failedParts: map[string]bool{}, cells: map[string]*cellView{}}
}

// subscribe registers f to be called after every change of the configuration, the
// workers or the waves. It returns a function that cancels the registration.
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

// setConfig puts a configuration in force unless it is older than the current one. It
// reports whether it did.
func (v *view) setConfig(c works.Config, version uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config != nil && version <= v.version {
		return false
	}
	v.config, v.version = &c, version
	for _, p := range c.Pools {
		v.addCell(p.Name)
	}
	return true
}

// current returns the configuration in force, or nil.
func (v *view) current() *works.Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config
}

// queues returns the configured queues and the version of the configuration's row.
func (v *view) queues() ([]works.Queue, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config == nil {
		return nil, 0
	}
	return v.config.Queues, v.version
}

// versionWith returns the version of the configuration's row if the configuration in force sends
// the queue to its pool, and 0, which is older than all versions, if q is from another one.
func (v *view) versionWith(q works.Queue) uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config == nil {
		return 0
	}
	if present, ok := v.config.Queue(q.Name); ok && present == q {
		return v.version
	}
	return 0
}

// addCells adds the cells of pools that may have jobs although they are not configured.
func (v *view) addCells(pools []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range pools {
		v.addCell(p)
	}
}

// addCell adds the cell of a pool unless it is known. The caller holds the lock.
func (v *view) addCell(pool string) {
	if cell := cellOf(pool); v.cells[cell] == nil {
		v.cells[cell] = &cellView{pool: pool}
	}
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

// listWorkers returns the registered workers, and false if the registrations have not
// been read.
func (v *view) listWorkers() ([]rock.Worker, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Values(v.workers)), v.workersRead
}

// recordAnswer records whether the platform answered a call. It reports whether the
// platform has changed between answering and not answering.
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

// outagePartCount is the number of parts that must fail, with no answer in between, for
// the whole table to count as failing. If a third of the parts is down, that many
// failures in a row happen in one case out of 81.
const outagePartCount = 4

// recordPartFailure records that a part did not answer. It reports whether the table
// counts as failing from now on.
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

// tableSilence returns the time since the platform's last answer, and whether the table
// counts as failing.
func (v *view) tableSilence(now time.Time) (silent time.Duration, failing bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.answeredAt), v.answeredSince.IsZero()
}

// recordRenewalRead records whether the platform answered a read of the cells' renewals.
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

// renewalsReadSince returns since when the reads of renewals have all been answered, or
// the zero time if the last one was not.
func (v *view) renewalsReadSince() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.renewalsSince
}

// withCell calls f with the view of a cell while it holds the lock. It does nothing if
// the cell is not configured.
func (v *view) withCell(cell string, f func(*cellView)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.cells[cell]; c != nil {
		f(c)
	}
}

// cellNames returns the sorted names of the configured cells.
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

// invalidateWorkers records that the registrations are not followed any more.
func (v *view) invalidateWorkers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.workersRead = false
}

// setOwned records whether the entry owns the cell.
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

// setWave records a requested maintenance wave.
func (v *view) setWave(name string, w rock.MaintenanceWave, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.waves[name] = w
	if v.waveSeenAt[name].IsZero() {
		v.waveSeenAt[name] = now
	}
}

// listWaves returns the requested waves and when each was first read.
func (v *view) listWaves() (map[string]rock.MaintenanceWave, map[string]time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.waves), maps.Clone(v.waveSeenAt)
}
