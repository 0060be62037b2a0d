package route

import (
	"time"

	rock "bramleyrock"
)

// Choose implements [rock.Placer] for long-running jobs. They use the same slots
// as requests and are included in the same counts.
func (e *Engine) Choose(now time.Time, pool string, avoid []string) (rock.Host, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.refresh(now); err != nil {
		return rock.Host{}, err
	}
	return e.sched.Choose(now, pool, avoid)
}

// Done implements [rock.Placer]. The freed slot is assigned to a waiting
// request, if there is one.
func (e *Engine) Done(now time.Time, host string, took time.Duration, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.Done(now, host, took, err)
	for _, pool := range e.sched.WaitingPools() {
		e.dispatch(pool)
	}
}
