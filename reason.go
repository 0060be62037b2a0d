package rock

// Reason is a machine-readable cause of a refusal or failure. It is sent to
// callers as the field "reason" of a problem body.
type Reason string

// The reasons.
const (
	// BadInput means that the input is invalid. Sending it again unchanged fails
	// again.
	BadInput Reason = "bad_input"
	// TooLarge means that a header, body or answer exceeds its limit.
	TooLarge Reason = "too_large"
	// Unauthenticated means that the token is missing or unknown.
	Unauthenticated Reason = "unauthenticated"
	// Forbidden means that the token's role or organisation does not allow
	// the action.
	Forbidden Reason = "forbidden"
	// NotFound means that the named subject does not exist.
	NotFound Reason = "not_found"
	// Conflict means that a record or row was changed by another writer.
	Conflict Reason = "conflict"
	// BudgetExceeded means that the action would break an availability budget.
	BudgetExceeded Reason = "budget_exceeded"
	// Overloaded means that the queue is full or that the request would wait past
	// its deadline.
	Overloaded Reason = "overloaded"
	// QuotaExceeded means that the organisation has used up its quota.
	QuotaExceeded Reason = "quota_exceeded"
	// NoHost means that the pool has no host that can take the work.
	NoHost Reason = "no_host"
	// Leaving means that the process or host is shutting down.
	Leaving Reason = "leaving"
	// DeadlineExceeded means that the deadline passed.
	DeadlineExceeded Reason = "deadline_exceeded"
	// Cancelled means that the caller cancelled the request.
	Cancelled Reason = "cancelled"
	// Unavailable means that the platform, a peer or a target could not be
	// reached.
	Unavailable Reason = "unavailable"
	// OutcomeUnknown means that the answer to a call was lost, so that the call may
	// or may not have taken effect.
	OutcomeUnknown Reason = "unsettled"
	// Truncated means that an answer is incomplete or cannot be decoded.
	Truncated Reason = "truncated"
	// Duplicate means that the idempotency key was already used.
	Duplicate Reason = "duplicate"
	// Expired means that a key or lease is past its lifetime.
	Expired Reason = "expired"
	// Fenced means that a newer epoch, generation or incarnation exists.
	Fenced Reason = "fenced"
	// Quarantined means that the work failed on several hosts and is not retried.
	Quarantined Reason = "quarantined"
	// WorkFailed means that the target ran the work and the work failed.
	WorkFailed Reason = "work_failed"
	// SchemaUnsupported means that the content cannot be expressed in the
	// schema version asked for.
	SchemaUnsupported Reason = "schema_unsupported"
	// Internal means that the program has a bug or met an unclassified error.
	Internal Reason = "internal"
)
