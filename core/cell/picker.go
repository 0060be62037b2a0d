package cell

import (
	"container/heap"
	"time"

	rock "bramleyrock"
)

// picker finds the workers with the least cost for many tasks of one placement round
// without looking at all workers for each of them. It serves ordinary tasks, whose cost
// on a worker depends on the worker and on whether their data is in its rack. While tasks
// are placed, the cost of a worker only grows and its free resources only shrink.
type picker struct {
	cell   *Cell
	now    time.Time
	usable []*worker // sorted by ID
	byRack map[string][]*worker
	heaps  map[heapKey]*workerHeap
	// exhausted is true if a heap has become empty since it was last reset.
	exhausted bool
}

// heapKey identifies the tasks that share a heap: those of the same size, and with remote
// set those whose data is in another rack.
type heapKey struct {
	need   rock.Resources
	remote bool
}

// maxHeaps bounds the heaps of a round. Tasks of further sizes are placed without them.
const maxHeaps = 16

// newPicker returns a picker for a round that begins now.
func newPicker(c *Cell, now time.Time, usable []*worker) *picker {
	return &picker{cell: c, now: now, usable: usable, heaps: map[heapKey]*workerHeap{}}
}

// serves reports whether the picker can choose a worker for the task.
func (p *picker) serves(t *task) bool {
	s := t.step
	if s.Persistent || s.Gang || s.BestEffort || s.Label != "" || s.MaxPerWorker > 0 || s.job.queue.RequiresTicket || t.lastFailedWorker != "" {
		return false
	}
	return p.heaps[p.key(s)] != nil || len(p.heaps) < maxHeaps
}

func (p *picker) key(s *step) heapKey { return heapKey{s.Reservation(), s.Rack != ""} }

// choose returns the worker with the least cost for a task that the picker serves, or nil
// if there is none.
func (p *picker) choose(t *task) *worker {
	best := p.heap(t).best(t)
	if t.step.Rack == "" {
		return best
	}
	if p.byRack == nil {
		p.byRack = map[string][]*worker{}
		for _, w := range p.usable {
			p.byRack[w.rack] = append(p.byRack[w.rack], w)
		}
	}
	near := p.cell.cheapestWorker(p.now, t, p.byRack[t.step.Rack], func(w *worker) bool { return p.mayRun(t, w) })
	switch {
	case near == nil:
		return best
	case best == nil:
		return near
	}
	return p.cell.cheapestWorker(p.now, t, sortedPair(near, best), func(*worker) bool { return true })
}

// sortedPair returns two workers sorted by ID.
func sortedPair(a, b *worker) []*worker {
	if a.id() < b.id() {
		return []*worker{a, b}
	}
	return []*worker{b, a}
}

// mayRun reports whether the worker may be given the task now.
func (p *picker) mayRun(t *task, w *worker) bool {
	return p.cell.mayPlace(p.now, t.step, t.step.Reservation(), w)
}

// heap returns the heap for the task.
func (p *picker) heap(t *task) *workerHeap {
	k := p.key(t.step)
	h := p.heaps[k]
	if h == nil {
		h = &workerHeap{picker: p, far: 1, entries: make([]heapEntry, 0, len(p.usable))}
		if k.remote {
			h.far = max(1, p.cell.settings.RemoteSlowdown)
		}
		for i, w := range p.usable {
			if w.freeResources().CanFit(k.need) {
				h.entries = append(h.entries, heapEntry{w, i, h.cost(w)})
			}
		}
		heap.Init(h)
		p.heaps[k] = h
	}
	return h
}

// workerHeap holds the workers that may have room for tasks of one size, the one with the
// least cost first. The costs in it are brought up to date when an entry comes first.
type workerHeap struct {
	picker  *picker
	far     float64 // factor of a task's run time
	entries []heapEntry
	// exhausted is true once the last entry has been removed.
	exhausted bool
}

type heapEntry struct {
	worker *worker
	index  int // in the sorted list of workers
	cost   float64
}

// cost returns the cost of an ordinary task on the worker.
func (h *workerHeap) cost(w *worker) float64 {
	return w.slowdown.value(h.picker.now)*h.far + w.loadCost()
}

// best returns the first worker that may be given the task, or nil. Workers before it are
// removed: they may not be given one of these tasks later in the round either.
func (h *workerHeap) best(t *task) *worker {
	for len(h.entries) > 0 {
		first := &h.entries[0]
		if cost := h.cost(first.worker); cost > first.cost {
			first.cost = cost
			heap.Fix(h, 0)
			continue
		}
		if h.picker.mayRun(t, first.worker) {
			return first.worker
		}
		heap.Pop(h)
	}
	h.picker.exhausted = h.picker.exhausted || !h.exhausted
	h.exhausted = true
	return nil
}

// Len implements [heap.Interface].
func (h *workerHeap) Len() int { return len(h.entries) }

// Less implements [heap.Interface].
func (h *workerHeap) Less(i, j int) bool {
	a, b := &h.entries[i], &h.entries[j]
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.index < b.index
}

// Swap implements [heap.Interface].
func (h *workerHeap) Swap(i, j int) { h.entries[i], h.entries[j] = h.entries[j], h.entries[i] }

// Push implements [heap.Interface].
func (h *workerHeap) Push(x any) { h.entries = append(h.entries, x.(heapEntry)) }

// Pop implements [heap.Interface].
func (h *workerHeap) Pop() any {
	last := h.entries[len(h.entries)-1]
	h.entries = h.entries[:len(h.entries)-1]
	return last
}
