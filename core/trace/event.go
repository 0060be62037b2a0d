package trace

import (
	"time"

	rock "bramleyrock"
)

// Event is one line of a trace. Which fields are required depends on the kind; see
// [Event.Check].
type Event struct {
	// At is the time of the event.
	At time.Time `json:"at"`
	// Kind is the kind of the event.
	Kind Kind `json:"event"`
	// Entry is the name of the entry.
	Entry string `json:"entry,omitempty"`
	// Peer is the entry to which a request was forwarded.
	Peer string `json:"peer,omitempty"`
	// RequestID is the id of the request or job.
	RequestID string `json:"request_id,omitempty"`
	// TaskID is the id of a task, which is one attempt to run the request on a
	// target.
	TaskID string `json:"task_id,omitempty"`
	// Organisation is the organisation of the caller.
	Organisation string `json:"organisation,omitempty"`
	// Pool is the pool of the request, task or host.
	Pool string `json:"pool,omitempty"`
	// Class is the queueing class of the request.
	Class rock.Class `json:"class,omitempty"`
	// Idempotent is true if running the request twice is harmless.
	Idempotent bool `json:"idempotent,omitempty"`
	// IdempotencyKey is shared by a request and the caller's retries of it.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Verdict tells the caller of a refused request whether it was run.
	Verdict rock.Verdict `json:"verdict,omitempty"`
	// Reason is why the caller was refused.
	Reason rock.Reason `json:"reason,omitempty"`
	// Digest is the digest of an answer as [Digest] returns it.
	Digest string `json:"digest,omitempty"`
	// Host is the name of the host.
	Host string `json:"host,omitempty"`
	// Zone is the availability zone of an entry or host.
	Zone string `json:"zone,omitempty"`
	// Rack is the failure domain of a host.
	Rack string `json:"rack,omitempty"`
	// Generation is the host generation that was sent with a task.
	Generation uint64 `json:"generation,omitempty"`
	// Revision is a revision of the configuration.
	Revision rock.Revision `json:"revision,omitempty"`
	// ChangeID is the id of a change.
	ChangeID string `json:"change_id,omitempty"`
	// Duty is the name of a duty.
	Duty string `json:"duty,omitempty"`
	// Epoch is the epoch of a duty's lease.
	Epoch uint64 `json:"epoch,omitempty"`
	// Holder is the entry that holds a duty's lease.
	Holder string `json:"holder,omitempty"`
	// Move is the name of a move.
	Move string `json:"move,omitempty"`
	// Wave is the name of a wave.
	Wave string `json:"wave,omitempty"`
	// To is the pool into which a host moves.
	To string `json:"to,omitempty"`
	// State is the state of a task, move or wave.
	State string `json:"state,omitempty"`
	// MinAvailable is the number of hosts of a pool that its budget requires to be
	// available.
	MinAvailable int `json:"min_available,omitempty"`
	// DelayMS is a queueing delay in milliseconds.
	DelayMS float64 `json:"delay_ms,omitempty"`
	// Rate is a rate of answers per second.
	Rate float64 `json:"rate,omitempty"`
	// Note is a text that explains the event.
	Note string `json:"note,omitempty"`

	line int // see [Event.Line]
}

// Line returns the number of the event's line in its trace, or 0 if the event is
// not part of one. The header is line 1.
func (e Event) Line() int { return e.line }
