package jobs_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/jobs"

	"gotest.tools/v3/assert"
)

const (
	// jobFormat formats a submission; its arguments are whether the job is
	// idempotent and its run time in milliseconds.
	jobFormat = `{"idempotent":%t,"payload":{"work_ms":%d,"echo":"roll"}}`
	// endlessMS is a run time longer than any test waits, in milliseconds.
	endlessMS = 600_000
)

// TestJobIsVisibleThroughAnyEntry reads the progress and result of a job through
// an entry that does not hold it.
func TestJobIsVisibleThroughAnyEntry(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2, nil)
	first, second := f.start("e1"), f.start("e2")
	id := first.submit(fmt.Sprintf(jobFormat, false, 1500))
	first.await(id, job.Running)
	eventually(t, "progress at both", func() bool {
		return first.get(id).Progress > 0 && second.get(id).Progress > 0
	})
	got := second.await(id, job.Done)
	assert.Equal(t, got.Verdict, rock.Ran)
	assert.Equal(t, got.Progress, 1.0)
	assert.Equal(t, string(got.Result), `{"echo":"roll"}`)
	assert.Equal(t, f.runs(id), 1)
}

// TestJobOutlivesItsHolder stops, kills or freezes the entry that holds a job.
// Another entry must adopt the running task instead of losing it or starting it
// again.
func TestJobOutlivesItsHolder(t *testing.T) {
	t.Parallel()
	cases := map[string]func(holder, other *entry){
		"planned stop":   func(holder, _ *entry) { holder.stop() },
		"killed":         func(holder, _ *entry) { holder.kill() },
		"frozen forever": func(holder, _ *entry) { holder.gate.freeze() },
	}
	for name, fault := range cases {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, idempotent %t", name, idempotent), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 2, 2, nil)
				holder := f.start("e1")
				id := holder.submit(fmt.Sprintf(jobFormat, idempotent, 3500))
				holder.await(id, job.Running)
				eventually(t, "start", func() bool { return f.runs(id) == 1 })
				other := f.start("e2")
				fault(holder, other)
				got := other.await(id, job.Done, job.Unsettled)
				assert.Equal(t, got.State, job.Done)
				assert.Equal(t, f.runs(id), 1, "the task was started again")
				assert.Assert(t, f.row(id).Epoch() >= 2, "nobody adopted the job")
			})
		}
	}
}

// TestThawedHolderAbandonsAdoptedJobs freezes the holder of a job until its
// lease has expired and another entry has adopted the job. After it is thawed,
// the old holder must drop the job and must not change it.
func TestThawedHolderAbandonsAdoptedJobs(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 4, nil)
	holder := f.start("e1")
	id := holder.submit(fmt.Sprintf(jobFormat, false, endlessMS))
	holder.await(id, job.Running)
	other := f.start("e2")
	holder.gate.freeze()
	eventually(t, "adoption", func() bool { return f.row(id).Epoch() == 2 })
	adopted := f.row(id)
	holder.gate.thaw()
	eventually(t, "the thawed holder to drop its jobs", func() bool { return holder.placer.slotsInUse() == 0 })
	next := holder.submit(fmt.Sprintf(jobFormat, true, 10)) // the old holder continues with a new session
	other.await(next, job.Done)
	now := f.row(id)
	assert.Equal(t, now.Holder(), adopted.Holder(), "state %s, epoch %d, %d runs", now.State(), now.Epoch(), f.runs(id))
	assert.Equal(t, now.Epoch(), adopted.Epoch())
	assert.Equal(t, now.State(), job.Running)
	assert.Equal(t, f.runs(id), 1)
}

// TestLateWriteOfAFrozenHolderFails freezes the holder between its decision to
// write a job's row and the write. Another entry adopts the job meanwhile, so the
// write must fail when the holder is thawed.
func TestLateWriteOfAFrozenHolderFails(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 4, nil)
	holder := f.start("e1")
	id := holder.submit(fmt.Sprintf(jobFormat, true, endlessMS))
	eventually(t, "start", func() bool { return f.runs(id) == 1 })
	holder.gate.freezeAtWriteOf("job/" + id) // the next checkpoint
	eventually(t, "the freeze", holder.gate.isFrozen)
	f.start("e2")
	eventually(t, "adoption", func() bool { return f.row(id).Epoch() == 2 })
	adopted := f.row(id)
	holder.gate.thaw()
	eventually(t, "the thawed holder to drop its jobs", func() bool { return holder.placer.slotsInUse() == 0 })
	now := f.row(id)
	assert.Equal(t, now.Holder(), adopted.Holder())
	assert.Equal(t, now.Epoch(), adopted.Epoch())
	assert.Equal(t, f.runs(id), 1)
}

// TestSubmissionsWhileHeldJobsAreReadAgain checks an organisation's quota while
// the entry reads its held jobs again after writes whose answers were lost. The
// race detector reports a reader that does not hold the lock.
func TestSubmissionsWhileHeldJobsAreReadAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 8, nil)
	limited := f.configuration(2, f.hosts)
	limited.Limit("alpha", 2)
	f.config.Set(limited)
	e := f.start("e1")
	for range 2 {
		e.await(e.submit(fmt.Sprintf(jobFormat, false, endlessMS)), job.Running)
	}
	for range 200 {
		f.depot.SetFaults(depot.Faults{LoseAnswers: 1})
		assert.Equal(t, e.call("POST", "/v1/pools/tins/jobs", "alpha-token", `{"payload":1}`, nil), http.StatusTooManyRequests)
		time.Sleep(2 * time.Millisecond)
	}
}

// TestAllEntriesAreReplaced kills all entries, and starts a new one during an
// outage of the platform. It must adopt or restart the jobs of the old entries.
func TestAllEntriesAreReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 8, nil)
	entries := []*entry{f.start("e1"), f.start("e2")}
	var ids []string
	for n := range 12 {
		ids = append(ids, entries[n%2].submit(fmt.Sprintf(jobFormat, n%3 == 0, 4000)))
	}
	for _, e := range entries {
		e.kill()
	}
	f.depot.SetFaults(depot.Faults{Down: true})
	fresh := f.start("e3")
	f.depot.SetFaults(depot.Faults{})
	for n, id := range ids {
		got := fresh.await(id, job.Done, job.Unsettled)
		if n%3 == 0 {
			assert.Equal(t, got.State, job.Done)
		}
		if got.State == job.Done && n%3 != 0 {
			assert.Equal(t, f.runs(id), 1)
		}
	}
}

// TestTaskIsLost makes the target of a running job unavailable for good. An
// idempotent job must run again on another host from its checkpoint; any other
// job must end as unsettled.
func TestTaskIsLost(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		idempotent bool
		state      job.State
		verdict    rock.Verdict
	}{
		"idempotent":     {true, job.Running, ""},
		"not idempotent": {false, job.Unsettled, rock.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 2, func(s *jobs.Settings) { s.Limits.TaskLease = time.Second })
			e := f.start("e1")
			id := e.submit(fmt.Sprintf(jobFormat, c.idempotent, endlessMS))
			eventually(t, "a checkpoint", func() bool {
				return f.runs(id) == 1 && (!c.idempotent || len(f.row(id).Checkpoint()) > 0)
			})
			first := f.row(id)
			f.targets.Worker(first.Host()).SetFaults(work.Faults{Down: true})
			eventually(t, "the loss", func() bool {
				j := f.row(id)
				return j.State() == c.state && j.TaskID() != "" && (j.Epoch() > first.Epoch() || j.State().Ended())
			})
			eventually(t, "the runs", func() bool { return f.runs(id) == map[bool]int{true: 2, false: 1}[c.idempotent] })
			now := f.row(id)
			assert.Equal(t, now.Verdict(), c.verdict)
			if c.idempotent {
				assert.Assert(t, now.Host() != first.Host())
				assert.Assert(t, len(now.Checkpoint()) > 0)
			}
		})
	}
}

// TestUrgentJobStartsInTime submits an urgent job while normal jobs use all
// slots. It must start in time by preemption under the default limits and
// intervals, and must wait if no normal job is idempotent.
func TestUrgentJobStartsInTime(t *testing.T) {
	t.Parallel()
	const bound = 7800 * time.Millisecond
	cases := map[string]struct {
		normalIdempotent bool
		starts           bool
	}{
		"a normal job is preempted":        {true, true},
		"no job can be stopped (baseline)": {false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, 2, func(s *jobs.Settings) {
				*s = jobs.Settings{Member: s.Member, Table: s.Table, Target: s.Target, Fleet: s.Fleet, Placer: s.Placer}
			})
			holder, other := f.start("e1"), f.start("e2")
			var normal []string
			for range 2 {
				normal = append(normal, holder.submit(fmt.Sprintf(jobFormat, c.normalIdempotent, endlessMS)))
			}
			eventually(t, "normal jobs", func() bool { return f.runs(normal[0])+f.runs(normal[1]) == 2 })
			submitted := time.Now()
			id := other.submit(`{"class":"urgent","payload":{"work_ms":600000}}`)
			if !c.starts {
				time.Sleep(3 * time.Second) // longer than a start by preemption takes
				assert.Equal(t, f.row(id).State(), job.Waiting)
				return
			}
			eventually(t, "urgent job", func() bool { return f.runs(id) == 1 })
			took := time.Since(submitted)
			t.Logf("urgent job started after %v", took)
			assert.Assert(t, took < bound, "took %v", took)
			states := []job.State{f.row(normal[0]).State(), f.row(normal[1]).State()}
			assert.Assert(t, states[0] == job.Waiting || states[1] == job.Waiting, "%v", states)
			holder.call(http.MethodDelete, "/v1/jobs/"+id, "alpha-token", "", nil)
			eventually(t, "the normal jobs to go on", func() bool {
				return f.row(normal[0]).State() == job.Running && f.row(normal[1]).State() == job.Running && f.running() == 2
			})
		})
	}
}

// TestJobThatAlwaysFailsIsQuarantined runs a job whose work fails everywhere. An
// idempotent job must be quarantined after three hosts; any other job must fail
// after its only run.
func TestJobThatAlwaysFailsIsQuarantined(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 5, 2, nil)
	e := f.start("e1")
	id := e.submit(`{"idempotent":true,"payload":{"work_ms":5,"fail":true}}`)
	got := e.await(id, job.Quarantined, job.Failed)
	assert.Equal(t, got.State, job.Quarantined)
	assert.Equal(t, got.Reason, rock.Quarantined)
	assert.Equal(t, f.runs(id), 3)
	assert.Equal(t, len(f.row(id).FailedHosts()), 3)

	once := e.submit(`{"payload":{"work_ms":5,"fail":true}}`)
	got = e.await(once, job.Failed, job.Quarantined)
	assert.Equal(t, got.Reason, rock.WorkFailed)
	assert.Equal(t, f.runs(once), 1)
}

// TestCancelFreesTheSlot cancels running and waiting jobs through an entry that
// may not hold them. Their slots must become free, and the verdict must say
// whether the job ran.
func TestCancelFreesTheSlot(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 10, nil)
	e, other := f.start("e1"), f.start("e2")
	var ids []string
	for range 60 {
		ids = append(ids, e.submit(fmt.Sprintf(jobFormat, false, endlessMS)))
	}
	eventually(t, "full targets", func() bool { return f.running() == 20 })
	for _, id := range ids {
		assert.Equal(t, other.call(http.MethodDelete, "/v1/jobs/"+id, "alpha-token", "", nil), http.StatusAccepted)
	}
	for _, id := range ids {
		got := e.await(id, job.Cancelled)
		assert.Equal(t, got.Verdict == rock.NotRun, f.runs(id) == 0, "verdict %s of a job that ran %d times", got.Verdict, f.runs(id))
	}
	eventually(t, "free slots", func() bool { return f.running() == 0 && e.placer.slotsInUse()+other.placer.slotsInUse() == 0 })
	assert.Equal(t, e.call(http.MethodDelete, "/v1/jobs/"+ids[0], "alpha-token", "", nil), http.StatusConflict)
}

// TestJobLeavesAClosedHost closes the host of two jobs. The idempotent one must
// migrate to another host, and the other one must stay.
func TestJobLeavesAClosedHost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, nil)
	e := f.start("e1")
	moves, stays := e.submit(fmt.Sprintf(jobFormat, true, endlessMS)), e.submit(fmt.Sprintf(jobFormat, false, endlessMS))
	eventually(t, "starts", func() bool { return f.runs(moves) == 1 && f.runs(stays) == 1 })
	before := []job.Job{f.row(moves), f.row(stays)}
	var closed []rock.Host
	for _, h := range f.hosts {
		open := h.Name() != before[0].Host()
		closed = append(closed, rock.NewHost(rock.HostSpec{Name: h.Name(), Zone: h.Zone(), Pool: "tins", Slots: 2, Open: open}))
	}
	f.config.Set(f.configuration(2, closed))
	eventually(t, "the move", func() bool { return f.runs(moves) == 2 })
	assert.Assert(t, f.row(moves).Host() != before[0].Host())
	assert.Equal(t, f.row(stays).TaskID(), before[1].TaskID())
}

// TestOutageOfThePlatform makes the platform unavailable for longer than the
// leases of the session and of the task. Submissions must be refused, and the
// running task must survive the outage.
func TestOutageOfThePlatform(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 4, func(s *jobs.Settings) { s.Limits.TaskLease = time.Second })
	e, other := f.start("e1"), f.start("e2")
	id := e.submit(fmt.Sprintf(jobFormat, false, 4000))
	e.await(id, job.Running)
	eventually(t, "start", func() bool { return f.runs(id) == 1 })
	f.depot.SetFaults(depot.Faults{Down: true})
	var problem struct {
		Verdict rock.Verdict `json:"verdict"`
	}
	code := e.call(http.MethodPost, "/v1/pools/tins/jobs", "alpha-token", `{"payload":1}`, &problem)
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Equal(t, problem.Verdict, rock.NotRun)
	// The outage outlasts the session's lease and the task's.
	assert.Equal(t, f.running(), 1)
	time.Sleep(2500 * time.Millisecond)
	assert.Equal(t, f.running(), 1, "the task's lease was not renewed")
	f.depot.SetFaults(depot.Faults{})
	got := other.await(id, job.Done, job.Unsettled)
	assert.Equal(t, got.State, job.Done)
	assert.Equal(t, f.runs(id), 1)
}

// TestPlannedStopInTheMiddleOfClaims stops an entry while it claims jobs. No
// claimed job may be left without its task, or it would end as unsettled.
func TestPlannedStopInTheMiddleOfClaims(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 32, nil)
	e := f.start("e1")
	var ids []string
	for range 100 {
		ids = append(ids, e.submit(fmt.Sprintf(jobFormat, false, 50)))
	}
	e.stop()
	other := f.start("e2")
	for _, id := range ids {
		got := other.await(id, job.Done, job.Unsettled)
		assert.Equal(t, got.State, job.Done, "job %s", id)
		assert.Equal(t, f.runs(id), 1)
	}
}

// TestZoneWithoutEntries kills the only entry of a zone. An entry of another zone
// must take over after the grace period: the idempotent job runs again there, and
// the other one ends as unsettled.
func TestZoneWithoutEntries(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 4, func(s *jobs.Settings) { s.Limits.TaskLease = time.Second })
	e := f.start("a1")
	again, once := e.submit(fmt.Sprintf(jobFormat, true, endlessMS)), e.submit(fmt.Sprintf(jobFormat, false, endlessMS))
	eventually(t, "starts", func() bool { return f.runs(again) == 1 && f.runs(once) == 1 })
	e.kill()
	other := f.startIn("b1", "b")
	got := other.await(once, job.Unsettled, job.Done)
	assert.Equal(t, got.State, job.Unsettled)
	assert.Equal(t, got.Verdict, rock.MayHaveRun)
	eventually(t, "second run", func() bool { return f.runs(again) == 2 })
	assert.Equal(t, f.row(again).Host(), "far")
	assert.Equal(t, f.runs(once), 1)
}
