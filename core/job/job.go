package job

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
)

// Job is an immutable snapshot of a job. Each transition returns a new Job.
type Job struct {
	row rowValue
}

// rowValue is the JSON value of a job's row.
type rowValue struct {
	ID           string          `json:"id"`
	Organisation string          `json:"organisation"`
	Pool         string          `json:"pool"`
	Class        rock.Class      `json:"class"`
	Idempotent   bool            `json:"idempotent"`
	MaxRunMS     int64           `json:"max_run_ms,omitempty"`
	Payload      json.RawMessage `json:"payload"`
	SubmittedAt  time.Time       `json:"submitted_at"`

	State       State           `json:"state"`
	Since       time.Time       `json:"since"`
	Holder      string          `json:"holder,omitempty"`
	Epoch       uint64          `json:"epoch,omitempty"`
	Host        string          `json:"host,omitempty"`
	TaskID      string          `json:"task_id,omitempty"`
	StartedAt   time.Time       `json:"started_at,omitzero"`
	Started     bool            `json:"started,omitempty"`
	FailedHosts []string        `json:"failed_hosts,omitempty"`
	Failures    int             `json:"failures,omitempty"`
	Checkpoint  json.RawMessage `json:"checkpoint,omitempty"`
	Result      json.RawMessage `json:"result,omitempty"`
	Verdict     rock.Verdict    `json:"verdict,omitempty"`
	Reason      rock.Reason     `json:"reason,omitempty"`
	Detail      string          `json:"detail,omitempty"`
}

// New returns a job that was submitted at now and waits to be claimed.
func New(s Spec, now time.Time) Job {
	if s.Class == "" {
		s.Class = rock.Normal
	}
	return Job{rowValue{
		ID: s.ID, Organisation: s.Organisation, Pool: s.Pool, Class: s.Class, Idempotent: s.Idempotent,
		MaxRunMS: s.MaxRun.Milliseconds(), Payload: s.Payload, SubmittedAt: now, State: Waiting, Since: now,
	}}
}

// ID returns the job's unique id.
func (j Job) ID() string { return j.row.ID }

// Organisation returns the organisation that submitted the job.
func (j Job) Organisation() string { return j.row.Organisation }

// Pool returns the name of the pool whose hosts run the job.
func (j Job) Pool() string { return j.row.Pool }

// Class returns the class, which decides the job's priority.
func (j Job) Class() rock.Class { return j.row.Class }

// Idempotent reports whether the job may be started more than once.
func (j Job) Idempotent() bool { return j.row.Idempotent }

// MaxRun returns the longest time that one run may take; 0 means no bound.
func (j Job) MaxRun() time.Duration { return time.Duration(j.row.MaxRunMS) * time.Millisecond }

// SubmittedAt returns when the job was accepted.
func (j Job) SubmittedAt() time.Time { return j.row.SubmittedAt }

// State returns the current state.
func (j Job) State() State { return j.row.State }

// StateSince returns when the job entered its current state. A job whose start
// was refused counts as waiting since it was submitted.
func (j Job) StateSince() time.Time { return j.row.Since }

// Holder returns the session that holds the job, or "" if it is not running.
func (j Job) Holder() string { return j.row.Holder }

// Epoch returns how often the job was claimed or adopted.
func (j Job) Epoch() uint64 { return j.row.Epoch }

// Host returns the host of the job's last task, or "" if it was never claimed.
func (j Job) Host() string { return j.row.Host }

// TaskID returns the id of the job's last task, or "" if it was never claimed.
func (j Job) TaskID() string { return j.row.TaskID }

// StartedAt returns when the job was last claimed.
func (j Job) StartedAt() time.Time { return j.row.StartedAt }

// FailedHosts returns the hosts on which the job failed.
func (j Job) FailedHosts() []string { return j.row.FailedHosts }

// Checkpoint returns the state saved by the last checkpoint, or nil.
func (j Job) Checkpoint() json.RawMessage { return j.row.Checkpoint }

// Result returns the result of a job that is done, or nil.
func (j Job) Result() json.RawMessage { return j.row.Result }

// Verdict returns whether the job ran; it is "" until the job has ended.
func (j Job) Verdict() rock.Verdict { return j.row.Verdict }

// Reason returns why the job ended without a result, or "".
func (j Job) Reason() rock.Reason { return j.row.Reason }

// Detail returns an explanation of the reason for people, or "".
func (j Job) Detail() string { return j.row.Detail }

// MarshalJSON implements [json.Marshaler].
func (j Job) MarshalJSON() ([]byte, error) { return json.Marshal(j.row) }

// UnmarshalJSON implements [json.Unmarshaler].
func (j *Job) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &j.row) }

// Claim returns the job as running and held by the session, with a new epoch and
// a new task on the host.
func (j Job) Claim(now time.Time, holder, host string) Job {
	j.row.Epoch++
	j.row.TaskID = fmt.Sprintf("%s.%d", j.row.ID, j.row.Epoch)
	j.row.State, j.row.Since, j.row.StartedAt = Running, now, now
	j.row.Holder, j.row.Host, j.row.Started = holder, host, true
	return j
}

// TaskEpochIsCurrent reports whether the running job's task was made by its
// current epoch, which means that the job was not adopted since it was claimed.
func (j Job) TaskEpochIsCurrent() bool {
	return j.row.State == Running && j.row.TaskID == fmt.Sprintf("%s.%d", j.row.ID, j.row.Epoch)
}

// Adopt returns the job as held by another session, with a new epoch and the
// same task.
func (j Job) Adopt(holder string) Job {
	j.row.Epoch++
	j.row.Holder = holder
	return j
}

// WithCheckpoint returns the job with a newer checkpoint. An empty checkpoint
// leaves the last one in place.
func (j Job) WithCheckpoint(checkpoint json.RawMessage) Job {
	if len(checkpoint) > 0 {
		j.row.Checkpoint = checkpoint
	}
	return j
}

// Release returns the job as waiting again. Unstarted is true if the task
// certainly did not start: the job then counts as waiting since it was
// submitted, and as never started unless an earlier claim may have started it.
func (j Job) Release(now time.Time, unstarted bool) Job {
	j.row.State, j.row.Since, j.row.Holder = Waiting, now, ""
	if unstarted && (!j.row.Idempotent || j.row.Epoch <= 1) {
		j.row.Started = false
	}
	if unstarted {
		j.row.Since = j.row.SubmittedAt // it has waited all along
	}
	return j
}

// Complete returns the job as done, with its result.
func (j Job) Complete(now time.Time, result json.RawMessage) Job {
	j.row.Result = result
	return j.end(now, Done, rock.Ran, "", "")
}

// maxFailuresPerHost bounds the failures of a job in a pool with too few hosts to
// quarantine it by the number of failed hosts: it is also quarantined after
// maxFailuresPerHost*maxHosts failures.
const maxFailuresPerHost = 2

// Fail returns the job after its task failed on its host. A job that is not
// idempotent has failed. An idempotent one waits again, or is quarantined if it
// failed on maxHosts hosts or maxFailuresPerHost*maxHosts times in all.
func (j Job) Fail(now time.Time, maxHosts int) Job {
	j.row.Failures++
	if !slices.Contains(j.row.FailedHosts, j.row.Host) {
		j.row.FailedHosts = append(slices.Clone(j.row.FailedHosts), j.row.Host)
	}
	switch {
	case !j.row.Idempotent:
		return j.end(now, Failed, rock.Ran, rock.WorkFailed, "the task failed on host "+j.row.Host)
	case len(j.row.FailedHosts) >= maxHosts || j.row.Failures >= maxFailuresPerHost*maxHosts:
		return j.end(now, Quarantined, rock.Ran, rock.Quarantined, fmt.Sprintf("the task failed on hosts %v", j.row.FailedHosts))
	}
	return j.Release(now, false)
}

// HandleLoss returns the job after its task was lost: waiting again if it is
// idempotent, and otherwise unsettled, with why as the detail.
func (j Job) HandleLoss(now time.Time, why string) Job {
	if j.row.Idempotent {
		return j.Release(now, false)
	}
	return j.end(now, Unsettled, rock.MayHaveRun, rock.OutcomeUnknown, why)
}

// Cancel returns the job as cancelled by its caller. Its verdict is
// [rock.NotRun] if it was never started.
func (j Job) Cancel(now time.Time) Job {
	verdict := rock.NotRun
	if j.row.Started {
		verdict = rock.MayHaveRun
	}
	return j.end(now, Cancelled, verdict, rock.Cancelled, "cancelled by the caller")
}

// Expire returns the job as failed because one run exceeded its bound.
func (j Job) Expire(now time.Time) Job {
	return j.end(now, Failed, rock.MayHaveRun, rock.DeadlineExceeded, fmt.Sprintf("ran for more than %v", j.MaxRun()))
}

func (j Job) end(now time.Time, s State, v rock.Verdict, r rock.Reason, detail string) Job {
	j.row.State, j.row.Since, j.row.Holder = s, now, ""
	j.row.Verdict, j.row.Reason, j.row.Detail = v, r, detail
	return j
}

// TaskPayload returns the JSON value to send with the job's next task. It is the
// caller's payload, with the checkpoint, if there is one, added as the member
// "checkpoint". A payload that is not an object becomes the member "payload" of
// a new object.
func (j Job) TaskPayload() json.RawMessage {
	if len(j.row.Checkpoint) == 0 {
		return j.row.Payload
	}
	members := map[string]json.RawMessage{}
	if json.Unmarshal(j.row.Payload, &members) != nil || members == nil {
		members = map[string]json.RawMessage{"payload": j.row.Payload}
	}
	members["checkpoint"] = j.row.Checkpoint
	data, err := json.Marshal(members)
	if err != nil {
		return j.row.Payload
	}
	return data
}
