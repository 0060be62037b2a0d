package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// TestWorkersAreNotReservedInVain guards against a task that waits for good beside a worker
// that is kept free for a persistent task which can never run there.
func TestWorkersAreNotReservedInVain(t *testing.T) {
	huge := persistentStep(1, 0, 1000)
	huge.Need.MemoryMB = 9000
	cases := map[string]struct {
		running, waiting works.Step
	}{
		"the worker has too few cores":      {persistentStep(1, 0, 1000), persistentStep(1, 0, 5000)},
		"the worker has too little memory":  {persistentStep(1, 0, 1000), huge},
		"persistent tasks leave too little": {persistentStep(1, 0, 2000), persistentStep(1, 0, 3000)},
		"the step has its tasks there":      {persistentStep(1, 0, 1000), persistentStep(2, 1, 1000)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			b.AddJob(b.now, job("running", c.running), 1)
			b.AddJob(b.now, job("waiting", c.waiting), 2)
			live := liveRuns(b.startTasks())
			assert.Assert(t, len(live["w0"]) > 0)
			b.AddJob(b.now, job(jobID, step(1)), 3)
			for range 50 {
				b.advance(100 * time.Millisecond)
				b.report("w0", live["w0"], nil)
				for _, o := range b.startTasks() {
					if o.Job == jobID {
						return
					}
				}
			}
			t.Errorf("the task waits\n%s", b.Describe(b.now, jobID))
		})
	}
}

// promptly is the longest time for which a task waits for nothing but the decisions and the
// adviser.
const promptly = 300 * time.Millisecond

// smallStep returns an ordinary step whose tasks need a fifth of a core.
func smallStep(count int) works.Step {
	s := step(count)
	s.Need.MilliCores = 200
	return s
}

// newReserveWorld returns four workers of 4 cores. The persistent job "watch" may run on w0 and w2
// only, and w2 is full. Most of the capacity is in use if busy is true.
func newReserveWorld(t *testing.T, busy bool) *policyWorld {
	p := newPolicyWorld(t, 4)
	p.allowedTo = map[string][]string{"full": {"w2"}, "watch": {"w0", "w2"}, "busy": {"w1", "w3"}}
	p.registered[0].Labels = append(p.registered[0].Labels, "special")
	p.SetWorkers(p.now, p.registered)
	p.add("full", persistentStep(1, 0, 3900))
	if busy {
		p.add("busy", persistentStep(2, 1, 2400))
	}
	p.pass(promptly)
	return p
}

// endRuns ends all runs of a job.
func (p *policyWorld) endRuns(id string, how rock.EndReason) {
	for _, w := range p.registered {
		var ended []rock.End
		p.runs[w.ID] = slices.DeleteFunc(p.runs[w.ID], func(r rock.Run) bool {
			n, _ := works.ParseTaskName(r.Task)
			if n.Job == id {
				ended = append(ended, rock.End{Task: r.Task, Run: r.Run, Reason: how})
			}
			return n.Job == id
		})
		p.report(w.ID, p.runs[w.ID], ended)
	}
}

// TestWorkersAreReservedOnlyForTasksThatMayUseThem guards against work that waits on a free
// worker, because it is kept free for a persistent task that may never run there.
func TestWorkersAreReservedOnlyForTasksThatMayUseThem(t *testing.T) {
	labelled := persistentStep(1, 0, 1000)
	labelled.Label = "special"
	lost := func(p *policyWorld) { p.MarkWorkerGone(p.now, "w0", "its host was taken down") }
	cases := map[string]struct {
		watch works.Step
		// lose takes the place of the persistent task.
		lose func(p *policyWorld)
	}{
		"its worker is lost": {persistentStep(1, 0, 1000), lost},
		"the platform drains its worker": {persistentStep(1, 0, 1000), func(p *policyWorld) {
			p.registered[0].State = rock.WorkerDraining
			p.SetWorkers(p.now, p.registered)
			p.endRuns("watch", rock.EndStopped)
		}},
		"its worker leaves the pool": {persistentStep(1, 0, 1000), func(p *policyWorld) {
			p.registered = p.registered[1:]
			p.SetWorkers(p.now, p.registered)
			p.MarkWorkerGone(p.now, "w0", "its host was moved")
		}},
		"another job takes its place": {persistentStep(1, 0, 1000), func(p *policyWorld) {
			p.allowedTo["taker"] = []string{"w0"}
			p.add("taker", persistentStep(1, 0, 3500))
			p.endRuns("watch", rock.EndFailed)
		}},
		"other workers lack its label":       {labelled, lost},
		"some of its tasks never had places": {persistentStep(3, 1, 1000), func(*policyWorld) {}},
	}
	for name, c := range cases {
		for pool, busy := range map[string]bool{"most of the pool is free": false, "most of the pool is in use": true} {
			for order, waited := range map[string]bool{"work comes later": false, "work waited before": true} {
				t.Run(name+", "+pool+", "+order, func(t *testing.T) {
					p := newReserveWorld(t, busy)
					p.add("watch", c.watch)
					p.pass(promptly)
					assert.Assert(t, len(p.startsOf("watch")) > 0, "%s", p.Describe(p.now, "watch"))
					if waited {
						p.allowedTo["filler"] = []string{"w1", "w3"}
						filler := spreadStep(2, 1600)
						if !busy {
							filler.Need.MilliCores = 4000
						}
						p.add("filler", filler)
					}
					p.pass(promptly)
					if !waited {
						c.lose(p)
						p.pass(promptly)
					}
					gang := smallStep(2)
					gang.Gang = true
					work := map[string]works.Step{"ordinary": smallStep(1), "gang": gang, "persistent": persistentStep(1, 0, 200)}
					p.allowedTo["ordinary"], p.allowedTo["gang"], p.allowedTo["persistent"] = []string{"w1"}, []string{"w1", "w3"}, []string{"w3"}
					for id, s := range work {
						p.add(id, s)
					}
					p.pass(promptly)
					if waited {
						c.lose(p)
						p.endRuns("filler", rock.EndDone)
						p.pass(promptly)
					}
					for id := range work {
						assert.Assert(t, len(p.startsOf(id)) > 0, "%s\n%s", id, p.Describe(p.now, id))
					}
				})
			}
		}
	}
}

// TestWorkStartsBesideAReservation guards against work that waits on a worker which has room for
// both the work and the persistent task for which it is reserved.
func TestWorkStartsBesideAReservation(t *testing.T) {
	need := func(milliCores int64) works.Step {
		s := step(1)
		s.Need.MilliCores = milliCores
		return s
	}
	gang := need(300)
	gang.Gang, gang.Count = true, 2
	cases := map[string]struct {
		reserved int64 // needed by the persistent task
		work     works.Step
		want     bool
	}{
		"both have room":                         {3000, need(1000), true},
		"it would take the room":                 {3000, need(1100), false},
		"a gang has room, too":                   {3000, gang, true},
		"a persistent task has room, too":        {3000, persistentStep(1, 0, 1000), true},
		"a persistent task would take the room":  {3000, persistentStep(1, 0, 1100), false},
		"the reserved task needs all but little": {3900, need(1000), false},
	}
	for name, c := range cases {
		for queue, advised := range map[string]bool{"advised": true, "not advised": false} {
			for pool, busy := range map[string]bool{"most of the pool is free": false, "most of the pool is in use": true} {
				t.Run(name+", "+queue+", "+pool, func(t *testing.T) {
					p := newReserveWorld(t, busy)
					p.allowedTo["work"] = []string{"w0"}
					p.add("running", need(2500))
					p.allowedTo["running"] = []string{"w0"}
					p.pass(promptly)
					p.allowedTo["reserved"] = []string{"w0"}
					p.add("reserved", persistentStep(1, 0, c.reserved))
					p.pass(promptly)
					assert.Equal(t, len(p.startsOf("reserved")), 0)
					j := job("work", c.work)
					j.Queue, j.Accepted = "q", p.now
					if advised {
						j.Queue = "advised"
					}
					if !advised {
						for i := range j.Spec.Steps {
							j.Spec.Steps[i].Label = "special" // which w0 alone has
						}
					}
					p.AddJob(p.now, j, 9)
					p.pass(promptly)
					assert.Equal(t, len(p.startsOf("work")) > 0, c.want, "%s", p.Describe(p.now, "work"))
					p.endRuns("running", rock.EndDone)
					p.pass(promptly)
					assert.Equal(t, len(p.startsOf("reserved")), 1, "%s", p.Describe(p.now, "reserved"))
				})
			}
		}
	}
}

// TestReservedTaskIsNotPassedOver guards against a persistent task that waits for good, because
// work that is placed beside its reservation takes the room that it waits for.
func TestReservedTaskIsNotPassedOver(t *testing.T) {
	for _, milliCores := range []int64{2000, 3000, 3900} {
		t.Run(fmt.Sprint(milliCores), func(t *testing.T) {
			p := newPolicyWorld(t, 1)
			seconds := map[string]time.Time{}
			submit := func(i int) {
				s := smallStep(6)
				s.Need.MilliCores = 500
				id := fmt.Sprint("small", i)
				p.AddJob(p.now, job(id, s), 9)
			}
			for i := range 10 {
				submit(i)
			}
			p.pass(promptly)
			p.AddJob(p.now, job("lasting", persistentStep(1, 0, milliCores)), 9)
			for i := 10; len(p.startsOf("lasting")) == 0; i++ {
				assert.Assert(t, i < 50, "%s", p.Describe(p.now, "lasting"))
				submit(i)
				p.pass(100 * time.Millisecond)
				for _, o := range p.starts { // each task takes 0.6 to 1.4 s
					if seconds[o.Start.Task].IsZero() {
						seconds[o.Start.Task] = p.now.Add(time.Duration(600+len(seconds)*37%800) * time.Millisecond)
					}
				}
				var ended []rock.End
				p.runs["w0"] = slices.DeleteFunc(p.runs["w0"], func(r rock.Run) bool {
					over := !p.now.Before(seconds[r.Task])
					if over {
						ended = append(ended, rock.End{Task: r.Task, Run: r.Run, Reason: rock.EndDone})
					}
					return over
				})
				p.report("w0", p.runs["w0"], ended)
			}
		})
	}
}

// TestAdviserIsAskedAboutWorkersToReserve guards against a persistent task that waits for good in
// a full pool, because the adviser was not asked about the workers that could make room for it.
func TestAdviserIsAskedAboutWorkersToReserve(t *testing.T) {
	p := newPolicyWorld(t, 45)
	for range 5 { // a batch holds the rows of 20 workers
		p.flush()
	}
	p.allowedTo["watch"] = []string{"w0", "w9"} // w9 is not among the first that are asked about
	p.add("watch", persistentStep(1, 0, 1000))
	p.pass(promptly)
	assert.DeepEqual(t, p.startsOf("watch"), []string{"w0"})
	fill := func(id string, count int) {
		small := step(count)
		small.Need.MilliCores = 480 // leaves 160 free on a full worker
		p.AddJob(p.now, job(id, small), 9)
	}
	fill("first", 400)
	p.pass(promptly)
	p.MarkWorkerGone(p.now, "w0", "its host was taken down")
	p.registered = p.registered[1:]
	for i := 0; i < 40 && len(p.startsOf("watch")) < 2; i++ {
		fill(fmt.Sprint("more", i), len(p.registered))
		p.pass(100 * time.Millisecond)
		for _, w := range p.registered { // one task on each worker ends, and others wait
			if runs := p.runs[w.ID]; len(runs) > 0 && runs[0].Task != "watch.0.0.0" {
				p.runs[w.ID] = runs[1:]
				p.report(w.ID, runs[1:], []rock.End{{Task: runs[0].Task, Run: runs[0].Run, Reason: rock.EndDone}})
			}
		}
	}
	assert.DeepEqual(t, p.startsOf("watch"), []string{"w0", "w9"})
}
