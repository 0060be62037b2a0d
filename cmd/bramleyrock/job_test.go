package main

import (
	"context"
	"syscall"
	"testing"
	"time"

	"bramleyrock/core/job"
	"bramleyrock/io/client"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// waitJob waits until the job is in the state, as the entry reports it.
func (d *deployment) waitJob(entry, id string, state job.State) client.JobStatus {
	d.t.Helper()
	var last client.JobStatus
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		j, err := d.callerOf(entry, callerToken).Job(context.Background(), id)
		if err != nil {
			return poll.Continue("%s: %v", entry, err)
		}
		if j.State != state {
			return poll.Continue("job is %s, want %s: %s", j.State, state, j.Detail)
		}
		last = j
		return poll.Success()
	}, poll.WithTimeout(90*time.Second), poll.WithDelay(100*time.Millisecond))
	return last
}

// TestJobOutlivesAllEntries kills every entry while a job that is not
// idempotent runs. New entries adopt the running task; it runs once, and its
// result is seen through any entry.
func TestJobOutlivesAllEntries(t *testing.T) {
	d := deploy(t)
	id, err := d.callerOf("a1", callerToken).SubmitJob(context.Background(), "tins", client.Job{Payload: []byte(`{"work_ms":4000,"echo":"roll","key":"job"}`)})
	assert.NilError(t, err)
	d.waitJob("b1", id, job.Running)
	for _, name := range []string{"a1", "b1"} {
		d.entries[name].signal(syscall.SIGKILL)
	}
	d.startEntry("a3", "a")
	d.startEntry("b3", "b")
	d.waitJob("a3", id, job.Done)
	done := d.waitJob("b3", id, job.Done)
	assert.Equal(t, string(done.Result), `{"echo":"roll"}`)
	assert.Equal(t, d.startsOf("job"), 1)
}

// TestJobOfAnother asks for a job with the token of another organisation.
func TestJobOfAnother(t *testing.T) {
	d := deploy(t)
	id, err := d.callerOf("a1", callerToken).SubmitJob(context.Background(), "tins", client.Job{Payload: []byte(`{"work_ms":100}`), Idempotent: true})
	assert.NilError(t, err)
	_, err = d.callerOf("a1", otherToken).Job(context.Background(), id)
	assert.ErrorContains(t, err, "not_found")
	assert.ErrorContains(t, d.callerOf("a1", otherToken).CancelJob(context.Background(), id), "not_found")
	out, errs, status := d.cli("job", "watch", id, "--token", callerToken, "--interval", "100ms")
	assert.Equal(t, status, exitOK, errs)
	assert.Assert(t, out != "")
}
