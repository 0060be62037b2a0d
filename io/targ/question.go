package targ

import (
	"context"
	"time"

	rock "bramleyrock"
)

const (
	// leaseParts is the number of questions that are asked at least in the
	// time of a lease, which they renew.
	leaseParts = 3
	// waitParts bounds the time between questions to a part of the time that
	// the run took so far, so that a lost answer is found soon in proportion.
	waitParts = 2
)

// ask asks the target about the task on a new connection. It returns how the
// run ends, or nil if that is not settled.
func (r *run) ask() *outcome {
	r.mu.Lock()
	call, revoke := r.call, r.revokes()
	r.asking = true
	r.mu.Unlock()
	a := statusCall(r.host, r.task.ID())
	if revoke {
		a = revokeCall(r.host, r.task.ID())
	}
	var f StatusForm
	err := r.client.askOver(r.ctx, r.client.fresh, a, &f)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asking = false
	if err != nil {
		r.missed(call, err)
	} else {
		r.judge(f.Status())
	}
	if r.end != nil || r.again {
		r.abandonCall()
	}
	return r.end
}

// abandonCall ends the outstanding call, whose answer was not needed or did not
// come. If it was made over a kept connection that went silent, others are
// likely to have done so too. The lock is held.
func (r *run) abandonCall() {
	if r.giveUp == nil {
		return
	}
	r.giveUp()
	r.giveUp = nil
	r.client.distrust(time.Now())
}

// revokes reports whether the next question revokes the task. The lock is held.
func (r *run) revokes() bool {
	return r.refusal != nil || r.misses > r.client.settings.Probes
}

// interval returns the time until the next question about a task that is known
// to be running. The lock is held.
func (r *run) interval() time.Duration {
	longest := r.task.Lease() / leaseParts
	return max(r.client.settings.Probe, min(time.Since(r.begun)/waitParts, longest))
}

// judge judges the target's report on the task. The lock is held.
func (r *run) judge(status rock.TaskStatus) {
	r.misses = 0
	r.due = time.Now().Add(r.interval())
	switch status.State() {
	case rock.TaskDone:
		r.end = r.answered(status.Result())
	case rock.TaskRunning:
		r.refusal = nil
	case rock.TaskUnknown:
		r.end = failed(r.notRun())
	case rock.TaskCancelled:
		r.end = failed(r.fail(rock.Expired).Becausef("target stopped the task"))
	default:
		r.end = failed(r.fail(rock.WorkFailed).Becausef("task is %s", status.State()))
	}
}

// missed judges a question that was not answered with a status. A task that
// the target does not know was lost on the way and is sent again on a new
// connection, under its id; if its bytes arrive after all, they join it. The
// lock is held.
func (r *run) missed(call int, err error) {
	if r.ctx.Err() != nil {
		return
	}
	probes := r.client.settings.Probes
	r.misses++
	r.due = time.Now().Add(r.client.settings.Probe)
	lost := rock.ReasonOf(err) == rock.NotFound
	switch {
	case r.misses <= probes && lost && call == r.call:
		r.sent = true
		r.again = true
	case r.misses == probes+1 && lost:
		r.due = time.Now()
	case r.misses > probes:
		r.end = failed(r.fail(rock.Unavailable).Because(err))
	}
}

// overdue reports whether a question is to be asked now, and takes it on.
func (r *run) overdue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asking || r.end != nil || r.again || now.Before(r.due) {
		return false
	}
	r.asking = true
	return true
}

// askAboutRuns asks about the runs whose answers are overdue.
func (c *Client) askAboutRuns(ctx context.Context) error {
	t := time.NewTicker(max(1, c.settings.Probe/probeParts))
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			for _, r := range c.runs.overdue(now) {
				c.duties.Go("ask about run", func(context.Context) error {
					r.ask()
					return nil
				})
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
