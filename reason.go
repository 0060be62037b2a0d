package rock

// Reason is a machine-readable cause of a refusal or failure. Reasons appear
// in problem bodies as "reason".
type Reason string

// The reasons.
const (
	// BadInput means that the input is malformed; sending it again unchanged
	// fails again.
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
	// Conflict means that a record was changed by somebody else.
	Conflict Reason = "conflict"
	// BudgetExceeded means that the action would break an availability budget.
	BudgetExceeded Reason = "budget_exceeded"
	// Overloaded means that the queue is full or the deadline cannot be met.
	Overloaded Reason = "overloaded"
	// QuotaExceeded means that the organisation has used up its quota.
	QuotaExceeded Reason = "quota_exceeded"
	// NoHost means that the pool has no host that can take the work.
	NoHost Reason = "no_host"
	// Leaving means that the process or host is shutting down.
	Leaving Reason = "leaving"
	// DeadlineExceeded means that the deadline passed.
	DeadlineExceeded Reason = "deadline_exceeded"
	// Cancelled means that the caller gave up.
	Cancelled Reason = "cancelled"
	// Unavailable means that the platform, a peer or a target could not be
	// reached.
	Unavailable Reason = "unavailable"
	// OutcomeUnknown means that a call may have taken effect but its answer was
	// lost.
	OutcomeUnknown Reason = "unsettled"
	// Truncated means that an answer was cut short or damaged.
	Truncated Reason = "truncated"
	// Duplicate means that the idempotency key was already used.
	Duplicate Reason = "duplicate"
	// Expired means that a key or lease is past its lifetime.
	Expired Reason = "expired"
	// Fenced means that a newer epoch, generation or incarnation exists.
	Fenced Reason = "fenced"
	// Quarantined means that the work failed on several hosts and is not
	// tried again.
	Quarantined Reason = "quarantined"
	// WorkFailed means that the target ran the work and the work failed.
	WorkFailed Reason = "work_failed"
	// SchemaUnsupported means that the content cannot be expressed in the
	// schema version asked for.
	SchemaUnsupported Reason = "schema_unsupported"
	// Internal means a fault of the program.
	Internal Reason = "internal"
)
