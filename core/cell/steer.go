package cell

import (
	"time"

	rock "bramleyrock"
)

const (
	// nearTarget is the share of a serving task's target from which the tasks
	// that fill beside it are slowed down.
	nearTarget = 0.85
	// farTarget is the share of all targets below which they are sped up.
	farTarget = 0.6
	// fillStep is by how many percent they are sped up at a time.
	fillStep = 20
	// steerInterval is the least time between two changes: the readings are of
	// the last half second.
	steerInterval = 600 * time.Millisecond
)

// steer slows the worker's filling tasks down while a serving task beside them
// comes near its target, and speeds them up while none does.
func (c *Cell) steer(now time.Time, w *worker) {
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
		tail := time.Duration(r.figure * float64(time.Millisecond))
		near = near || float64(tail) > nearTarget*float64(s.LatencyTarget)
		calm = calm && float64(tail) < farTarget*float64(s.LatencyTarget)
	}
	if !filling || now.Sub(w.steeredAt) < steerInterval {
		return
	}
	slow := w.slowFill
	switch {
	case !serving:
		slow = 0
	case near:
		slow = min(100, 100-(100-slow)/3) // a third of what they had
	case calm:
		slow = max(0, slow-fillStep)
	}
	if slow != w.slowFill {
		w.slowFill, w.steeredAt = slow, now
		c.note("filling tasks paced", nil, "worker "+w.id())
	}
}

// paces returns the orders that bring filling tasks to their pace.
func (c *Cell) paces(now time.Time, w *worker, orders []Order) []Order {
	for _, r := range w.runs {
		if r.task == nil || !r.task.step.BestEffort || r.state != running || r.percent == 100-w.slowFill || now.Sub(r.pacedAt) < steerInterval {
			continue
		}
		r.pacedAt = now
		orders = append(orders, Order{
			Kind: OrderPace, Worker: w.Worker, run: r, Job: r.task.step.job.ID, Queue: r.task.step.job.Queue,
			Pace: rock.ThrottleOrder{Task: r.key, Run: r.number, Percent: 100 - w.slowFill, Fence: c.settings.Fence},
		})
	}
	return orders
}
