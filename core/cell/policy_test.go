package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// policyWorld is a harness with an adviser that allows a step only on some workers.
type policyWorld struct {
	*harness
	allowed []string
	// allowedTo holds the workers that are allowed for a job in place of allowed.
	allowedTo map[string][]string
	valid     time.Duration
	runs      map[string][]rock.Run
	starts    []cell.Order
	queries   int
}

func newPolicyWorld(t *testing.T, workers int, allowed ...string) *policyWorld {
	p := &policyWorld{harness: newHarness(t, workers, nil), allowed: allowed, allowedTo: map[string][]string{}, valid: time.Minute, runs: map[string][]rock.Run{}}
	p.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 2}, {Name: "advised", Pool: "tins", Attempts: 2, RequiresTicket: true}})
	return p
}

// add adds a job of the advised queue.
func (p *policyWorld) add(id string, s works.Step) {
	j := job(id, s)
	j.Queue, j.Accepted = "advised", p.now
	p.AddJob(p.now, j, 9)
}

// pass lets time pass. The runs go on.
func (p *policyWorld) pass(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.advance(100 * time.Millisecond) {
		for _, w := range p.registered {
			p.report(w.ID, p.runs[w.ID], nil)
		}
		p.flush()
		for range 2 {
			for _, o := range p.Decide(p.now) {
				p.handle(o)
			}
			p.flush()
		}
	}
}

// handle answers an order.
func (p *policyWorld) handle(o cell.Order) {
	switch o.Kind {
	case cell.OrderAdvise:
		p.queries++
		allowed, ok := p.allowedTo[o.Job]
		if !ok {
			allowed = p.allowed
		}
		var tickets []rock.Ticket
		for _, id := range o.Workers {
			if slices.Contains(allowed, id) {
				tickets = append(tickets, rock.Ticket{Worker: id, Ticket: "ticket"})
			}
		}
		p.HandleAdvice(p.now, o, tickets, p.valid, nil)
	case cell.OrderStart:
		p.starts = append(p.starts, o)
		p.runs[o.Worker.ID] = append(p.runs[o.Worker.ID], running(o)...)
		p.HandleReply(p.now, o, rock.Reply{Clock: p.clock()}, nil)
	case cell.OrderStop:
		p.HandleReply(p.now, o, rock.Reply{Clock: p.clock()}, nil)
		p.runs[o.Worker.ID] = slices.DeleteFunc(p.runs[o.Worker.ID], func(r rock.Run) bool { return r.Task == o.Stop.Task })
		p.report(o.Worker.ID, p.runs[o.Worker.ID], []rock.End{{Task: o.Stop.Task, Run: o.Stop.Run, Reason: rock.EndStopped}})
	}
}

// startsOf returns the workers on which tasks of a job were started.
func (p *policyWorld) startsOf(id string) []string {
	var workers []string
	for _, o := range p.starts {
		if o.Job == id {
			workers = append(workers, o.Worker.ID)
		}
	}
	return workers
}

// maxCalmWait is how long a task may wait although most of its pool is free.
const maxCalmWait = 3 * time.Second

// TestAdviserIsAskedAboutAvoidedWorkers guards against a task that waits for good although most of
// the pool is free: its policy allows only a worker that is avoided, because the cell drains it,
// it is reserved or ejected, and the adviser was never asked about it.
func TestAdviserIsAskedAboutAvoidedWorkers(t *testing.T) {
	gang := step(2)
	gang.Gang = true
	steps := map[string]works.Step{"ordinary": step(1), "several": step(3), "gang": gang, "persistent": persistentStep(1, 0, 1000)}
	cases := map[string]struct {
		// avoid makes the cell avoid w0.
		avoid func(p *policyWorld)
		valid time.Duration // of tickets
	}{
		"it is drained":                          {func(p *policyWorld) { p.SetClosing(map[string]bool{"w0": true}) }, time.Minute},
		"it is drained, and tickets expire soon": {func(p *policyWorld) { p.SetClosing(map[string]bool{"w0": true}) }, 700 * time.Millisecond},
		"it is drained, and the others are gone": {func(p *policyWorld) {
			p.SetClosing(map[string]bool{"w0": true})
			for _, id := range []string{"w1", "w2", "w3"} {
				p.MarkWorkerGone(p.now, id, "its host was taken down")
			}
		}, time.Minute},
		"another allowed worker is full": {func(p *policyWorld) {
			p.allowed = []string{"w0", "w1"}
			p.SetClosing(map[string]bool{"w0": true, "w2": true, "w3": true})
			full := step(1)
			full.Need.MilliCores = 4000
			p.AddJob(p.now, job("full", full), 9)
			p.pass(300 * time.Millisecond)
			p.SetClosing(map[string]bool{"w0": true})
		}, time.Minute},
		"it is reserved": {func(p *policyWorld) {
			p.AddJob(p.now, job("lasting", persistentStep(4, 1, 1000)), 9)
			p.pass(300 * time.Millisecond)
			for i := range 4 {
				p.AddJob(p.now, job(fmt.Sprint("waits", i), persistentStep(1, 0, 3500)), 9)
			}
		}, time.Minute},
	}
	for name, c := range cases {
		for kind, s := range steps {
			t.Run(name+", "+kind, func(t *testing.T) {
				p := newPolicyWorld(t, 4, "w0")
				p.valid = c.valid
				c.avoid(p)
				p.add("waiting", s)
				p.pass(maxCalmWait)
				assert.Assert(t, len(p.startsOf("waiting")) > 0, "%s", p.Describe(p.now, "waiting"))
				for _, w := range p.startsOf("waiting") {
					assert.Equal(t, w, "w0")
				}
			})
		}
	}
}

// TestAdviserIsAskedAboutAnEjectedWorker guards against a task that waits for good because its
// policy allows only an ejected worker.
func TestAdviserIsAskedAboutAnEjectedWorker(t *testing.T) {
	p := newPolicyWorld(t, 4, "w0")
	p.SetQueues([]works.Queue{{Name: "q", Pool: "tins", Attempts: 9}, {Name: "advised", Pool: "tins", Attempts: 2, RequiresTicket: true}})
	p.ejectWorker("w0", p.runs)
	p.add("waiting", step(1))
	p.pass(maxCalmWait)
	assert.DeepEqual(t, p.startsOf("waiting"), []string{"w0"})
}

// TestStepsThatNoWorkerMayRunLeaveTheAdviser guards against steps that no worker may run, whose
// queries take the turns of all others.
func TestStepsThatNoWorkerMayRunLeaveTheAdviser(t *testing.T) {
	p := newPolicyWorld(t, 4)
	for i := range 20 {
		p.add(fmt.Sprint("hopeless", i), step(1))
	}
	p.pass(5 * time.Second)
	assert.Assert(t, p.queries <= 20*6, "%d queries for 20 steps in 5 s", p.queries)
	p.allowed = []string{"w0"}
	p.pass(2 * time.Second)
	assert.Assert(t, len(p.startsOf("hopeless0")) > 0, "a worker that has become allowed is not asked about")
}

// TestPersistentTaskOfAnAdvisedQueueIsMoved guards against a drain without an end: an owner that
// has taken the cell over has no tickets for tasks that run, and never asks for any.
func TestPersistentTaskOfAnAdvisedQueueIsMoved(t *testing.T) {
	p := newPolicyWorld(t, 3, "w0", "w1")
	p.add("lasting", persistentStep(1, 1, 1000))
	p.AddProgress(p.now, "lasting", works.Progress{Started: true, Tasks: []works.TaskProgress{{Run: 5, Worker: "w0"}}})
	p.runs["w0"] = []rock.Run{{Task: "lasting.0.0.0", Run: 5, Percent: 100}}
	p.pass(time.Second)
	assert.Equal(t, len(p.startsOf("lasting")), 0)
	p.SetClosing(map[string]bool{"w0": true})
	p.pass(2 * time.Second)
	assert.DeepEqual(t, p.startsOf("lasting"), []string{"w1"})
}
