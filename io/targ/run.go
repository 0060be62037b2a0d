package targ

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	rock "bramleyrock"
)

// run is one task that is being run. Its calls are made one after another by
// the goroutine of [Client.Run]; while one is outstanding, questions about the
// task are asked by a duty of the client.
type run struct {
	client *Client
	host   rock.Host
	task   rock.Task
	ctx    context.Context
	begun  time.Time

	mu sync.Mutex
	// call counts the calls, and giveUp ends the outstanding one, if there is
	// one.
	call   int
	giveUp context.CancelFunc
	// asking is true while a question is outstanding, and due is when the
	// next one is to be asked.
	asking bool
	due    time.Time
	// sent is true if an earlier call may have reached the target, and misses
	// counts the questions in a row without a status.
	sent   bool
	misses int
	// refusal is why a call was refused after an earlier one was sent.
	refusal error
	// end is how the run ends, once that is settled.
	end *outcome
	// again is true if the task is to be sent again.
	again bool
}

// Run implements [rock.Target]. It returns when the whole answer is there,
// when it is settled that there will be none, or when ctx ends or the task's
// deadline passes; then the task is cancelled in the background.
func (c *Client) Run(ctx context.Context, host rock.Host, task rock.Task) (rock.Answer, error) {
	if err := c.checkSize("run", host, task); err != nil {
		return rock.Answer{}, err
	}
	ctx, cancel := boundBy(ctx, task.Deadline())
	defer cancel()
	now := time.Now()
	r := &run{client: c, host: host, task: task, ctx: ctx, begun: now, due: now.Add(c.settings.Probe)}
	end := r.follow()
	if ctx.Err() != nil && rock.VerdictOf(end.err) == rock.MayHaveRun {
		c.left.Put(leftTask{host.Name(), host.Address(), task.ID()})
	}
	return end.answer, end.err
}

// boundBy returns a context that can be cancelled and ends at the deadline, if
// there is one.
func boundBy(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// follow makes calls until the run is settled: the first over a kept
// connection, the others over new ones.
func (r *run) follow() *outcome {
	h := r.client.kept
	for {
		body, err := r.send(h)
		end := r.take(body, err)
		if end == nil {
			end = r.settle()
		}
		if end != nil {
			return end
		}
		h = r.client.fresh
	}
}

// subject returns what the run is applied to.
func (r *run) subject() string { return "host " + r.host.Name() }

// send makes a call that runs the task. The client's duty asks about the task
// meanwhile.
func (r *run) send(h *http.Client) ([]byte, error) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.mu.Lock()
	r.call++
	r.giveUp = cancel
	r.again = false
	r.mu.Unlock()
	r.client.runs.add(r)
	defer r.client.runs.remove(r)
	defer r.returned()
	a := newCall("run", r.host, r.task.ID())
	a.request.Post("run").BodyJSON(FromTask(r.task))
	return r.client.do(ctx, h, a)
}

// returned notes that no call is outstanding.
func (r *run) returned() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.giveUp = nil
}

// take judges what came of a call. It returns nil if that does not settle the
// run.
func (r *run) take(body []byte, err error) *outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		return r.answered(body)
	case r.end != nil:
		return r.end
	case r.again:
		return nil
	case rock.VerdictOf(err) == rock.NotRun && !r.sent:
		return failed(err)
	case r.ctx.Err() != nil:
		return failed(r.ended(err))
	case rock.VerdictOf(err) == rock.NotRun:
		// The earlier call may still arrive, so the task is revoked.
		r.refusal = err
		return nil
	case !lostAnswer(err):
		return failed(err)
	}
	r.sent = true
	return nil
}

// settle asks about the task while no call is outstanding. It returns nil if
// the task is to be sent again.
func (r *run) settle() *outcome {
	for {
		r.mu.Lock()
		again := r.again
		r.mu.Unlock()
		if again {
			return nil
		}
		if end := r.ask(); end != nil {
			return end
		}
		if !r.pause() {
			return failed(r.ended(r.ctx.Err()))
		}
	}
}

// pause waits until the next question, unless the task is to be sent again, and
// reports whether the run goes on.
func (r *run) pause() bool {
	r.mu.Lock()
	wait := time.Until(r.due)
	if r.again {
		wait = 0
	}
	r.mu.Unlock()
	if wait <= 0 {
		return r.ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.ctx.Done():
		return false
	}
}

// answered returns the outcome of a task that the target answered.
func (r *run) answered(body []byte) *outcome {
	return &outcome{answer: rock.NewAnswer(r.task.ID(), r.host.Name(), body)}
}

// fail returns a failure of the run after which the task may have run.
func (r *run) fail(reason rock.Reason) *rock.Failure {
	return rock.Fail("run", r.subject(), reason, rock.MayHaveRun)
}

// ended returns the failure of a run whose context ended after a call may have
// reached the target.
func (r *run) ended(err error) error {
	return call{op: "run", host: r.host}.lost(r.ctx, true, err)
}

// notRun returns the failure of a task that was revoked before its start.
func (r *run) notRun() error {
	cause := r.refusal
	reason := rock.ReasonOf(cause)
	if cause == nil {
		cause, reason = errors.New("task did not arrive and was revoked"), rock.Unavailable
	}
	return rock.Fail("run", r.subject(), reason, rock.NotRun).Because(cause)
}
