package cell

import (
	"time"

	rock "bramleyrock"
)

const (
	// throttleThreshold is the share of a serving task's target from which the tasks
	// that fill beside it are slowed down.
	throttleThreshold = 0.85
	// unthrottleThreshold is the share of all targets below which they are sped up.
	unthrottleThreshold = 0.6
	// unthrottleStep is by how many percent they are sped up at a time.
	unthrottleStep = 20
	// throttleInterval is the least time between two changes: the readings are of
	// the last half second.
	throttleInterval = 600 * time.Millisecond
)

// adjustThrottle slows the worker's filling tasks down while a serving task beside them
// comes near its target, and speeds them up while none does.
func (c *Cell) adjustThrottle(now time.Time, w *worker) {
	near, serving, filling := false, false, false
	calm := true
	for _, r := range w.runs {
		if r.task == nil {
			continue
		}
		s := r.task.step
		filling = filling || s.BestEffort
		if s.LatencyTarget <= 0 || s.BestEffort {
			continue
		}
		serving = true
		tail := time.Duration(r.metric * float64(time.Millisecond))
		near = near || float64(tail) > throttleThreshold*float64(s.LatencyTarget)
		calm = calm && float64(tail) < unthrottleThreshold*float64(s.LatencyTarget)
	}
	if !filling || now.Sub(w.throttledAt) < throttleInterval {
		return
	}
	slow := w.throttlePercent
	switch {
	case !serving:
		slow = 0
	case near:
		slow = min(100, 100-(100-slow)/3) // a third of what they had
	case calm:
		slow = max(0, slow-unthrottleStep)
	}
	if slow != w.throttlePercent {
		w.throttlePercent, w.throttledAt = slow, now
		c.addEvent("filling tasks paced", nil, "worker "+w.id())
	}
}

// throttleOrders returns the orders that bring filling tasks to their pace.
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
