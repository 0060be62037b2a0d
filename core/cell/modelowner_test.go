package cell_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"
)

// modelRows holds the stored rows of the cell.
type modelRows struct {
	jobs     map[string]works.Job
	versions map[string]uint64
	progress map[string]works.Progress
	outcomes map[string]works.State
	workers  map[string]time.Time
}

// modelOwner is an owner of the cell, present or former.
type modelOwner struct {
	m          *model
	core       *cell.Cell
	alive      bool
	committing bool
	// incarnations holds the start time of each worker to which a connection is
	// open.
	incarnations map[string]time.Time
	// pendingProgress holds the progress of jobs that are not read yet.
	pendingProgress map[string]works.Progress
	// pausedUntil is when the owner goes on, or the end of its last pause. delayed is the
	// number of calls that waited for that.
	pausedUntil time.Time
	delayed     int
}

// takeOver creates a new owner from the stored rows.
func (m *model) takeOver() {
	m.version++
	former := map[string]time.Time{}
	for id, until := range m.rows.workers {
		former[id] = until
	}
	o := &modelOwner{m: m, alive: true, incarnations: map[string]time.Time{}, core: cell.New(cell.Settings{
		Pool: "tins", Fence: m.version, LeaseDuration: modelLease, MaxLeaseDuration: modelMaxLease, MaxStopDuration: 400 * time.Millisecond,
		FormerLeasesEndAt: m.now.Add(modelLease*103/100 + time.Second), FormerWorkers: former,
	})}
	o.setQueues()
	o.readJobs()
	o.core.SetWorkers(m.now, m.registered())
	m.log("take fence %d former %v progress %v", m.version, former, m.rows.progress)
	m.owner = o
	m.fault(0)
	for _, w := range m.workers {
		o.poll(w)
	}
	o.decideLoop()
}

// readJobs reads the stored jobs. Some of them may be unread for a while.
func (o *modelOwner) readJobs() {
	m := o.m
	o.pendingProgress = maps.Clone(m.rows.progress)
	unread := m.unreadParts()
	if len(unread) > 0 {
		o.core.SetJobsIncomplete(m.now, true)
		for id := range m.rows.outcomes {
			o.core.RecordEnded(m.now, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.rows.jobs)) {
		if !unread[modelPart(id)] {
			o.addStoredJob(id)
		}
	}
	o.readLater(unread)
}

// addStoredJob adds a job and its progress from their rows.
func (o *modelOwner) addStoredJob(id string) {
	m := o.m
	j, ok := m.rows.jobs[id]
	if !ok {
		return
	}
	o.core.AddJob(m.now, j, m.rows.versions[id])
	if p, ok := o.pendingProgress[id]; ok {
		delete(o.pendingProgress, id)
		o.core.AddProgress(m.now, id, p)
	}
	o.core.HandleDeferredEnds(m.now, id)
	if m.fleet != nil && m.fleet.cancelled[id] {
		o.core.Cancel(m.now, id)
	}
}

// decideLoop calls Decide and sends the orders every 10 ms.
func (o *modelOwner) decideLoop() {
	if !o.alive {
		return
	}
	m := o.m
	if m.now.Before(o.pausedUntil) {
		m.after(o.pausedUntil.Sub(m.now), o.decideLoop)
		return
	}
	for _, n := range o.core.TakeEvents() {
		m.log("%v", n)
	}
	o.core.SetWorkers(m.now, m.registered())
	orders := o.core.Decide(m.now, m.now)
	m.checkReservations(o)
	slices.SortFunc(orders, func(a, b cell.Order) int { // the order of Decide is random
		return cmp.Or(cmp.Compare(a.Worker.ID, b.Worker.ID), cmp.Compare(a.Start.Task+a.Stop.Task, b.Start.Task+b.Stop.Task), cmp.Compare(a.Start.Run+a.Stop.Run, b.Start.Run+b.Stop.Run))
	})
	for _, d := range orders {
		if d.Kind == cell.OrderAdvise {
			o.advise(d)
			continue
		}
		m.checkStop(o, d)
		m.checkStart(d)
		o.sendOrder(d)
	}
	if !o.committing && o.core.FlushDue(m.now) {
		o.commit()
	}
	m.after(10*time.Millisecond, o.decideLoop)
}

// commit writes a batch after a delay. The write may fail, or its answer be lost.
func (o *modelOwner) commit() {
	m := o.m
	b := o.core.Flush(m.now)
	o.committing = true
	m.after(m.delay(), func() {
		if !o.alive || m.owner != o {
			return // the write is conditional on the owner
		}
		applied := !m.happens(20, time.Second)
		answered := true
		if m.hasKinds() && m.fleet.kinds.storeDown {
			applied, answered = m.random.IntN(2) == 0, false
		}
		if applied {
			m.write(b)
		}
		m.after(m.delay(), func() {
			o.handle(func() {
				o.committing = false
				if applied && answered && !m.happens(20, time.Second) {
					o.core.Flushed(m.now, b)
				} else {
					o.core.FlushFailed(m.now, b)
				}
			})
		})
	})
}

func (m *model) write(b *cell.Batch) {
	m.version++
	for _, w := range b.Workers {
		m.rows.workers[w.ID] = w.LeaseEnd
	}
	for _, id := range b.DeletedWorkers {
		delete(m.rows.workers, id)
	}
	for _, w := range b.JobWrites {
		if w.Ended {
			if _, ok := m.rows.jobs[w.ID]; !ok && m.rows.outcomes[w.ID] != w.Outcome.State {
				m.fail("job %s ended as %s after %s", w.ID, w.Outcome.State, m.rows.outcomes[w.ID])
			}
			if w.Outcome.State == works.Failed {
				m.checkFailed(w.ID)
			}
			m.rows.outcomes[w.ID] = w.Outcome.State
			delete(m.rows.jobs, w.ID)
			delete(m.rows.progress, w.ID)
		} else {
			m.rows.progress[w.ID] = w.Progress
		}
	}
}

// modelTimeout is the timeout of orders.
const modelTimeout = 900 * time.Millisecond

// sendOrder sends an order, which may be carried out late. Its answer may be lost.
func (o *modelOwner) sendOrder(d cell.Order) {
	m, sent := o.m, o.m.now
	w := m.findWorker(d.Worker.ID)
	timeOut := func() {
		m.after(modelTimeout, func() { o.handleOrderError(d, sent) })
	}
	run := func() rock.Reply {
		if d.Kind == cell.OrderStop {
			return m.stopRun(w, d.Stop)
		}
		return m.handleStart(w, d.Start)
	}
	switch {
	case w.erring:
		m.after(m.delay(), func() { o.handleOrderError(d, sent) })
	case w.mute:
		m.after(m.delay(), func() {
			if w.reachable() {
				run()
			}
		})
		timeOut()
	case m.happens(40, 6*time.Second+modelTimeout):
		incarnation := w.startedAt
		m.after(2*time.Second+time.Duration(m.random.Int64N(int64(4*time.Second))), func() {
			if w.startedAt.Equal(incarnation) && !w.left { // a delayed order is lost with its worker
				run()
			}
		})
		timeOut()
	case m.happens(40, modelTimeout):
		m.after(m.delay(), func() {
			if w.reachable() {
				run()
			}
		})
		timeOut()
	default:
		m.after(m.delay(), func() {
			var p rock.Reply
			switch {
			case w.reachable():
				p = run()
			case w.left && w.replaced:
				p.Refusal = rock.RefusedIdentity
			default:
				timeOut()
				return
			}
			m.after(m.answerDelay(), func() {
				o.handle(func() { o.core.HandleReply(m.now, d, p, nil) })
			})
		})
	}
}

// handleOrderError handles an order without a reply.
func (o *modelOwner) handleOrderError(d cell.Order, sent time.Time) {
	m := o.m
	o.handle(func() {
		o.core.HandleReply(m.now, d, rock.Reply{}, rock.Fail("order", d.Worker.ID, rock.OutcomeUnknown, rock.MayHaveRun))
		o.core.HandleUnanswered(m.now, sent, d.Worker.ID, o.ranSince(sent), fmt.Errorf("no answer"))
	})
}

// poll keeps renewing a worker's lease.
func (o *modelOwner) poll(w *modelWorker) {
	if !o.alive {
		return
	}
	if o.m.now.Before(o.pausedUntil) {
		o.handle(func() { o.poll(w) })
		return
	}
	m, sent := o.m, o.m.now
	_, h, ok := o.core.HoldOrder(m.now, w.id, 0)
	if !ok {
		m.after(50*time.Millisecond, func() { o.poll(w) })
		return
	}
	if known := o.incarnations[w.id]; !known.Equal(w.startedAt) {
		o.incarnations[w.id] = w.startedAt
		if !known.IsZero() { // the connection to the former incarnation breaks
			o.core.HandleUnanswered(m.now, sent, w.id, true, fmt.Errorf("connection reset"))
			m.after(m.delay(), func() { o.poll(w) })
			return
		}
	}
	m.after(m.delay(), func() {
		if w.left && w.replaced {
			o.handleReport(w, sent, rock.Report{Refusal: rock.RefusedIdentity})
			return
		}
		if !w.reachable() || m.happens(60, modelTimeout) {
			if w.reachable() {
				m.renew(w, h) // the answer is lost
			}
			m.after(modelTimeout, func() {
				o.handle(func() {
					o.core.HandleUnanswered(m.now, sent, w.id, o.ranSince(sent), fmt.Errorf("no answer"))
					o.poll(w)
				})
			})
			return
		}
		o.handleReport(w, sent, m.renew(w, h))
	})
}

// handleReport passes a worker's report to the cell after a delay, and polls it again.
func (o *modelOwner) handleReport(w *modelWorker, sent time.Time, p rock.Report) {
	m := o.m
	m.after(m.answerDelay(), func() {
		o.handle(func() {
			o.core.HandleReport(m.now, sent, w.id, p)
			if o.core.Fenced() {
				o.alive = false
			}
			m.after(30*time.Millisecond, func() { o.poll(w) })
		})
	})
}

// replaceOwner makes a new owner take over the cell.
func (m *model) replaceOwner() {
	if m.owner != nil {
		m.owner.alive = false
	}
	m.takeOver()
}
