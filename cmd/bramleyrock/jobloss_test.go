package main

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"bramleyrock/core/job"
	"bramleyrock/io/client"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestJobsOutliveLostAndFrozenEntries kills one entry and freezes another while
// both hold jobs that are not idempotent, and thaws it after its jobs were
// taken over.
func TestJobsOutliveLostAndFrozenEntries(t *testing.T) {
	const (
		runTime  = 30 * time.Second
		thawTime = 25 * time.Second // a session's lease lasts for 15 s
	)
	d := deploy(t)
	d.startEntry("a2", "a")
	d.linked("b1", "a1")
	jobs := map[string]string{} // ids by key
	for n := range 12 {
		key := fmt.Sprintf("job-%d", n)
		payload := fmt.Sprintf(`{"work_ms":%d,"key":%q}`, runTime.Milliseconds(), key)
		through := []string{"a1", "a2", "b1"}[n%3]
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			id, err := d.callerOf(through, callerToken).SubmitJob(context.Background(), "tins", client.Job{Payload: []byte(payload)})
			if err != nil {
				return poll.Continue("%v", err)
			}
			jobs[key] = id
			return poll.Success()
		}, poll.WithTimeout(20*time.Second))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for key := range jobs {
			if d.startsOf(key) != 1 {
				return poll.Continue("%s is not started", key)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	d.entries["a1"].signal(syscall.SIGKILL)
	d.entries["a2"].signal(syscall.SIGSTOP)
	d.startEntry("a3", "a")
	time.Sleep(thawTime)
	d.entries["a2"].signal(syscall.SIGCONT)
	for key, id := range jobs {
		d.waitJob("a3", id, job.Done)
		assert.Equal(t, d.startsOf(key), 1, key)
	}
}
