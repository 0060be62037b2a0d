package client

import (
	"encoding/json"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
)

// JobStatus is the status of a job as an entry reports it.
type JobStatus struct {
	// JobID is the id that the entry assigned to the job.
	JobID string `json:"job_id"`
	// Pool is the pool of the job.
	Pool string `json:"pool"`
	// State is the job's state.
	State job.State `json:"state"`
	// Verdict states whether the job may have run, once it has ended.
	Verdict rock.Verdict `json:"verdict,omitempty"`
	// Reason is why the job ended without a result.
	Reason rock.Reason `json:"reason,omitempty"`
	// Detail explains the reason.
	Detail string `json:"detail,omitempty"`
	// Progress is the share of the work that is done, from 0 to 1.
	Progress float64 `json:"progress"`
	// SubmittedAt is when the job was submitted.
	SubmittedAt time.Time `json:"submitted_at"`
	// Since is when the job entered its current state.
	Since time.Time `json:"since"`
	// Result is the JSON value that the target returned, once the job is done.
	Result json.RawMessage `json:"result,omitempty"`
}
