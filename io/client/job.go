package client

import (
	"context"
	"encoding/json"
	"net/url"

	rock "bramleyrock"
)

// Job is a long-running job that a caller submits.
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

// CancelJob requests that a job be cancelled.
func (c *Client) CancelJob(ctx context.Context, id string) error {
	path := "/v1/jobs/" + url.PathEscape(id)
	return c.do(ctx, c.base.New().Delete(path), "delete "+path, nil)
}
