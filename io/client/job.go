package client

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
)

// Job is a long-running job, as a caller submits it.
type Job struct {
	// Payload is the JSON value for the target.
	Payload json.RawMessage `json:"payload"`
	// Class is the queueing class; "" means normal.
	Class rock.Class `json:"class,omitempty"`
	// Idempotent is true if running the job twice is harmless.
	Idempotent bool `json:"idempotent,omitempty"`
	// MaxRunMS bounds one run, in milliseconds; 0 means the entry's default.
	MaxRunMS int64 `json:"max_run_ms,omitempty"`
}

// JobStatus is a job as an entry reports it.
type JobStatus struct {
	// JobID is the id that the entry gave to the job.
	JobID string `json:"job_id"`
	// Pool is the pool of the job.
	Pool string `json:"pool"`
	// State is the job's state.
	State job.State `json:"state"`
	// Verdict says whether the job may have run, once it has ended.
	Verdict rock.Verdict `json:"verdict,omitempty"`
	// Reason is why the job ended without a result.
	Reason rock.Reason `json:"reason,omitempty"`
	// Detail explains the reason.
	Detail string `json:"detail,omitempty"`
	// Progress is the share of the work that is done, from 0 to 1.
	Progress float64 `json:"progress"`
	// SubmittedAt is when the job was submitted.
	SubmittedAt time.Time `json:"submitted_at"`
	// Since is when the present state was reached.
	Since time.Time `json:"since"`
	// Result is the target's JSON value, once the job is done.
	Result json.RawMessage `json:"result,omitempty"`
}

// SubmitJob submits a job to the pool and returns its id.
func (c *Client) SubmitJob(ctx context.Context, pool string, j Job) (string, error) {
	var a struct {
		JobID string `json:"job_id"`
	}
	err := c.post(ctx, "/v1/pools/"+url.PathEscape(pool)+"/jobs", j, &a)
	return a.JobID, err
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id string) (JobStatus, error) {
	var a JobStatus
	err := c.get(ctx, "/v1/jobs/"+url.PathEscape(id), nil, &a)
	return a, err
}

// CancelJob asks for a job to be cancelled.
func (c *Client) CancelJob(ctx context.Context, id string) error {
	path := "/v1/jobs/" + url.PathEscape(id)
	return c.do(ctx, c.base.New().Delete(path), "delete "+path, nil)
}
