package targ

import (
	"context"
	"errors"
	"net/http"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
)

// reply is what came of a call that runs a task.
type reply struct {
	body []byte
	err  error
}

// report is what came of a question about a task.
type report struct {
	status rock.TaskStatus
	err    error
	revoke bool
}

// run is one task that is being run: the call and the question that are
// outstanding, and what is known of the task.
type run struct {
	client  *Client
	host    rock.Host
	task    rock.Task
	duties  *group.Group
	replies chan reply
	giveUp  context.CancelFunc
	reports chan report
	sent    bool
	misses  int
	refusal error
}

// Run implements [rock.Target]. It returns when the whole answer is there,
// when it is settled that there will be none, or when ctx ends or the task's
// deadline passes; then the task is cancelled in the background.
func (c *Client) Run(ctx context.Context, host rock.Host, task rock.Task) (rock.Answer, error) {
	if err := c.checkSize("run", host, task); err != nil {
		return rock.Answer{}, err
	}
	if !task.Deadline().IsZero() {
		bound, cancel := context.WithDeadline(ctx, task.Deadline())
		defer cancel()
		ctx = bound
	}
	r := &run{client: c, host: host, task: task, duties: group.New(ctx)}
	defer r.close()
	r.send(c.kept)
	end := r.wait(ctx)
	if ctx.Err() != nil && rock.VerdictOf(end.err) == rock.MayHaveRun {
		c.left.Put(leftTask{host.Name(), host.Address(), task.ID()})
	}
	return end.answer, end.err
}

// wait follows the run until it ends.
func (r *run) wait(ctx context.Context) *outcome {
	ticker := time.NewTicker(r.client.settings.Probe)
	defer ticker.Stop()
	for {
		var end *outcome
		select {
		case got := <-r.replies:
			r.replies = nil
			end = r.take(ctx, got)
		case got := <-r.reports:
			r.reports = nil
			end = r.judge(ctx, got)
		case <-ticker.C:
			r.ask(false)
		case <-r.ended(ctx):
			end = failed(r.call().lost(ctx, true, ctx.Err()))
		}
		if end != nil {
			return end
		}
	}
}

// ended returns the end of ctx if no call is outstanding. An outstanding call
// ends with ctx, and tells whether it was sent.
func (r *run) ended(ctx context.Context) <-chan struct{} {
	if r.replies != nil {
		return nil
	}
	return ctx.Done()
}

// call returns the call that runs the task.
func (r *run) call() call { return newCall("run", r.host, r.task.ID()) }

// send begins a call that runs the task, and gives up the one before.
func (r *run) send(h *http.Client) {
	r.stop()
	ctx, cancel := context.WithCancel(r.duties.Context())
	replies := make(chan reply, 1)
	r.giveUp, r.replies = cancel, replies
	a := r.call()
	a.request.Post("run").BodyJSON(FromTask(r.task))
	r.duties.Go("run task", func(context.Context) error {
		body, err := r.client.do(ctx, h, a)
		replies <- reply{body, err}
		return nil
	})
}

// ask begins a question about the task on a new connection, unless one is
// outstanding. It may revoke the task.
func (r *run) ask(revoke bool) {
	if r.reports != nil {
		return
	}
	a := statusCall(r.host, r.task.ID())
	if revoke || r.refusal != nil {
		revoke = true
		a = revokeCall(r.host, r.task.ID())
	}
	reports := make(chan report, 1)
	r.reports = reports
	r.duties.Go("ask for task", func(ctx context.Context) error {
		var f StatusForm
		err := r.client.askOver(ctx, r.client.fresh, a, &f)
		reports <- report{f.Status(), err, revoke}
		return nil
	})
}

// stop gives up the outstanding call, which closes its connection.
func (r *run) stop() {
	if r.giveUp != nil {
		r.giveUp()
	}
}

// close ends all duties.
func (r *run) close() {
	r.stop()
	r.duties.Stop()
	// The duties return no errors.
	_ = r.duties.Wait()
}

// take judges what came of the call, and asks for the task if that does not
// settle the run.
func (r *run) take(ctx context.Context, got reply) *outcome {
	switch {
	case got.err == nil:
		return r.answered(got.body)
	case rock.VerdictOf(got.err) == rock.NotRun:
		return r.refused(got.err)
	case ctx.Err() != nil || !lostAnswer(got.err):
		return failed(got.err)
	}
	r.sent = true
	r.ask(false)
	return nil
}

// refused judges a call that did not start the task. If an earlier call may
// still do so, the task is revoked.
func (r *run) refused(err error) *outcome {
	if !r.sent {
		return failed(err)
	}
	r.refusal = err
	r.ask(true)
	return nil
}

func (r *run) answered(body []byte) *outcome {
	return &outcome{answer: rock.NewAnswer(r.task.ID(), r.host.Name(), body)}
}

// judge judges the target's report on the task.
func (r *run) judge(ctx context.Context, got report) *outcome {
	if got.err != nil {
		return r.missed(ctx, got.err)
	}
	r.misses = 0
	switch got.status.State() {
	case rock.TaskDone:
		return r.answered(got.status.Result())
	case rock.TaskRunning:
		r.refusal = nil
		return nil
	case rock.TaskUnknown:
		return failed(r.notRun())
	case rock.TaskCancelled:
		return failed(r.fail(rock.Expired).Becausef("target stopped the task"))
	}
	return failed(r.fail(rock.WorkFailed).Becausef("task is %s", got.status.State()))
}

// missed judges a question that was not answered with a status. A task that
// the target does not know was lost on the way and is sent again on a new
// connection, under its id; if its bytes arrive after all, they join it.
func (r *run) missed(ctx context.Context, err error) *outcome {
	if ctx.Err() != nil {
		return nil
	}
	r.misses++
	lost := rock.ReasonOf(err) == rock.NotFound
	switch {
	case r.misses <= r.client.settings.Probes && lost:
		r.sent = true
		r.send(r.client.fresh)
	case r.misses == r.client.settings.Probes+1 && lost:
		r.ask(true)
	case r.misses > r.client.settings.Probes:
		return failed(r.fail(rock.Unavailable).Because(err))
	}
	return nil
}

// notRun returns the failure of a task that was revoked before its start.
func (r *run) notRun() error {
	cause := r.refusal
	reason := rock.ReasonOf(cause)
	if cause == nil {
		cause, reason = errors.New("task did not arrive and was revoked"), rock.Unavailable
	}
	return rock.Fail("run", r.call().subject(), reason, rock.NotRun).Because(cause)
}

// fail returns a failure of the run after which the task may have run.
func (r *run) fail(reason rock.Reason) *rock.Failure {
	return rock.Fail("run", r.call().subject(), reason, rock.MayHaveRun)
}
