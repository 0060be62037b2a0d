package job_test

import (
	"encoding/json"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func running(idempotent bool) job.Job {
	s := job.Spec{ID: "j1", Organisation: "alpha", Pool: "tins", Idempotent: idempotent, MaxRun: time.Hour, Payload: json.RawMessage(`{"n":1}`)}
	return job.New(s, start).Claim(start, "e1", "h1")
}

func report(s rock.TaskState) rock.TaskStatus { return rock.NewTaskStatus("j1.1", s, 0, nil, nil) }

func TestNextAction(t *testing.T) {
	cases := map[string]struct {
		idempotent bool
		observed   job.Observation
		after      time.Duration
		want       job.Action
	}{
		"runs":                          {observed: job.Observation{Status: report(rock.TaskRunning)}, want: job.Continue},
		"is done":                       {observed: job.Observation{Status: report(rock.TaskDone), CancelRequested: true}, want: job.Complete},
		"failed":                        {observed: job.Observation{Status: report(rock.TaskFailed)}, want: job.Fail},
		"target does not know it":       {observed: job.Observation{Status: report(rock.TaskUnknown)}, want: job.HandleLoss},
		"lease lapsed at the target":    {observed: job.Observation{Status: report(rock.TaskCancelled)}, want: job.HandleLoss},
		"stopped for the caller":        {observed: job.Observation{Status: report(rock.TaskCancelled), CancelRequested: true}, want: job.Cancel},
		"caller cancels":                {observed: job.Observation{Status: report(rock.TaskRunning), CancelRequested: true}, want: job.Cancel},
		"target silent for a while":     {after: 40 * time.Second, want: job.Continue},
		"target silent past the lease":  {after: 46 * time.Second, want: job.HandleLoss},
		"runs too long":                 {observed: job.Observation{Status: report(rock.TaskRunning), LastAnswerAt: start.Add(2 * time.Hour)}, after: 2 * time.Hour, want: job.Expire},
		"host closed, idempotent":       {idempotent: true, observed: job.Observation{Status: report(rock.TaskRunning), HostClosed: true}, want: job.Migrate},
		"host closed, not idempotent":   {observed: job.Observation{Status: report(rock.TaskRunning), HostClosed: true}, want: job.Continue},
		"checkpoint due, idempotent":    {idempotent: true, observed: job.Observation{Status: report(rock.TaskRunning), LastAnswerAt: start.Add(6 * time.Minute)}, after: 6 * time.Minute, want: job.Checkpoint},
		"no checkpoint, not idempotent": {observed: job.Observation{Status: report(rock.TaskRunning), LastAnswerAt: start.Add(6 * time.Minute)}, after: 6 * time.Minute, want: job.Continue},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.observed.LastAnswerAt.IsZero() {
				c.observed.LastAnswerAt = start
			}
			c.observed.LastCheckpointAt = start
			assert.Equal(t, job.Limits{}.NextAction(start.Add(c.after), running(c.idempotent), c.observed), c.want)
		})
	}
}

func TestTransitions(t *testing.T) {
	waiting := job.New(job.Spec{ID: "j1"}, start)
	cases := map[string]struct {
		job     job.Job
		state   job.State
		verdict rock.Verdict
	}{
		"done":                         {running(true).Complete(start, json.RawMessage(`1`)), job.Done, rock.Ran},
		"lost, idempotent":             {running(true).HandleLoss(start, "gone"), job.Waiting, ""},
		"lost, not idempotent":         {running(false).HandleLoss(start, "gone"), job.Unsettled, rock.MayHaveRun},
		"failed, not idempotent":       {running(false).Fail(start, 3), job.Failed, rock.Ran},
		"failed once, idempotent":      {running(true).Fail(start, 3), job.Waiting, ""},
		"failed on the last host":      {running(true).Fail(start, 3).Claim(start, "e1", "h2").Fail(start, 3).Claim(start, "e1", "h3").Fail(start, 3), job.Quarantined, rock.Ran},
		"failed twice on one host":     {running(true).Fail(start, 2).Claim(start, "e1", "h1").Fail(start, 2), job.Waiting, ""},
		"cancelled before its start":   {waiting.Cancel(start), job.Cancelled, rock.NotRun},
		"cancelled while running":      {running(true).Cancel(start), job.Cancelled, rock.MayHaveRun},
		"cancelled, start was refused": {running(false).Release(start, true).Cancel(start), job.Cancelled, rock.NotRun},
		"cancelled after a lost task":  {running(true).HandleLoss(start, "").Cancel(start), job.Cancelled, rock.MayHaveRun},
		"ran too long":                 {running(true).Expire(start), job.Failed, rock.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.job.State(), c.state)
			assert.Equal(t, c.job.Verdict(), c.verdict)
			assert.Equal(t, c.job.Holder(), "")
			assert.Equal(t, c.job.State().Ended(), c.verdict != "")
		})
	}
}

func TestEveryClaimHasATaskOfItsOwn(t *testing.T) {
	first := running(true)
	second := first.HandleLoss(start, "").Claim(start, "e2", "h1")
	assert.Assert(t, first.TaskID() != second.TaskID())
	assert.Equal(t, second.Adopt("e3").TaskID(), second.TaskID())
	assert.Equal(t, second.Adopt("e3").Epoch(), uint64(3))
}

func TestTaskPayload(t *testing.T) {
	cases := map[string]struct{ payload, checkpoint, want string }{
		"first run":      {`{"n":1}`, ``, `{"n":1}`},
		"resumed":        {`{"n":1}`, `{"at":7}`, `{"checkpoint":{"at":7},"n":1}`},
		"not an object":  {`[1]`, `{"at":7}`, `{"checkpoint":{"at":7},"payload":[1]}`},
		"null, no state": {`null`, ``, `null`},
		"null":           {`null`, `7`, `{"checkpoint":7,"payload":null}`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := job.New(job.Spec{ID: "j1", Payload: json.RawMessage(c.payload)}, start).WithCheckpoint(json.RawMessage(c.checkpoint))
			assert.Equal(t, string(j.TaskPayload()), c.want)
		})
	}
}

func TestRowRoundTrip(t *testing.T) {
	j := running(true).WithCheckpoint(json.RawMessage(`{"at":7}`)).Fail(start, 3)
	data, err := json.Marshal(j)
	assert.NilError(t, err)
	var decoded job.Job
	assert.NilError(t, json.Unmarshal(data, &decoded))
	again, err := json.Marshal(decoded)
	assert.NilError(t, err)
	assert.Equal(t, string(again), string(data))
}

func TestPreemptionVictim(t *testing.T) {
	claim := func(id, pool string, class rock.Class, idempotent bool, after time.Duration) job.Job {
		return job.New(job.Spec{ID: id, Pool: pool, Class: class, Idempotent: idempotent}, start).Claim(start.Add(after), "e1", "h-"+id)
	}
	urgent := job.New(job.Spec{ID: "u", Pool: "tins", Class: rock.Urgent}, start)
	normal := job.New(job.Spec{ID: "n", Pool: "tins"}, start)
	candidates := []job.Job{
		claim("old", "tins", rock.Normal, true, 0), claim("new", "tins", rock.Normal, true, time.Minute),
		claim("once", "tins", rock.Normal, false, time.Hour), claim("urgent", "tins", rock.Urgent, true, time.Hour),
		claim("other", "lids", rock.Normal, true, time.Hour),
	}
	cases := map[string]struct {
		waiting job.Job
		after   time.Duration
		running []job.Job
		want    string
	}{
		"last claimed normal idempotent job of the pool": {urgent, time.Minute, candidates, "new"},
		"urgent job has not waited long enough":          {urgent, 0, candidates, ""},
		"normal job does not preempt":                    {normal, time.Hour, candidates, ""},
		"no running job is eligible":                     {urgent, time.Minute, candidates[2:], ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := job.Limits{}.PreemptionVictim(start.Add(c.after), c.waiting, c.running)
			assert.Equal(t, got.ID(), c.want)
			assert.Equal(t, ok, c.want != "")
		})
	}
}
