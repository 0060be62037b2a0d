package cell

import (
	"time"

	rock "bramleyrock"
)

const (
	// throttleThreshold is the share of a task's latency target from which the
	// best-effort tasks on its worker are slowed down.
	throttleThreshold = 0.85
	// unthrottleThreshold is the share of their latency targets that all tasks must
	// be below for best-effort tasks to be sped up.
	unthrottleThreshold = 0.6
	// unthrottleStep is by how many percent they are sped up at a time.
	unthrottleStep = 20
	// throttleInterval is the least time between two changes. Workers report the
	// latency of the last half second.
	throttleInterval = 600 * time.Millisecond
)

// adjustThrottle slows the worker's best-effort tasks down while the tail latency
// of a task on the worker is close to its target, and speeds them up while no
// such task is close to its target.
func (c *Cell) adjustThrottle(now time.Time, w *worker) {
	near, serving, bestEffort := false, false, false
	belowAll := true
	for _, r := range w.runs {
		if r.task == nil {
			continue
		}
		s := r.task.step
		bestEffort = bestEffort || s.BestEffort
		if s.LatencyTarget <= 0 || s.BestEffort {
			continue
		}
		serving = true
		tail := time.Duration(r.metric * float64(time.Millisecond))
		near = near || float64(tail) > throttleThreshold*float64(s.LatencyTarget)
		belowAll = belowAll && float64(tail) < unthrottleThreshold*float64(s.LatencyTarget)
	}
	if !bestEffort || now.Sub(w.throttledAt) < throttleInterval {
		return
	}
	percent := w.throttlePercent
	switch {
	case !serving:
		percent = 0
	case near:
		percent = min(100, 100-(100-percent)/3) // a third of the former share
	case belowAll:
		percent = max(0, percent-unthrottleStep)
	}
	if percent != w.throttlePercent {
		w.throttlePercent, w.throttledAt = percent, now
		c.addEvent("best-effort tasks throttled", nil, "worker "+w.id())
	}
}

// throttleOrders appends the orders that set the resource share of the worker's
// best-effort tasks, for those that report another share.
func (c *Cell) throttleOrders(now time.Time, w *worker, orders []Order) []Order {
	for _, r := range w.runs {
		if r.task == nil || !r.task.step.BestEffort || r.state != running || r.percent == 100-w.throttlePercent || now.Sub(r.throttleSentAt) < throttleInterval {
			continue
		}
		r.throttleSentAt = now
		orders = append(orders, Order{
			Kind: OrderPace, Worker: w.Worker, run: r, Job: r.task.step.job.ID, Queue: r.task.step.job.Queue,
			Pace: rock.ThrottleOrder{Task: r.key, Run: r.number, Percent: 100 - w.throttlePercent, Fence: c.settings.Fence},
		})
	}
	return orders
}
