package rock

import (
	"encoding/json"
	"time"
)

// Request is one request of a caller to a pool.
type Request struct {
	id           string
	organisation string
	pool         string
	class        Class
	idempotent   bool
	key          string
	deadline     time.Time
	hops         int
	payload      json.RawMessage
}

// RequestSpec holds the fields of a [Request].
type RequestSpec struct {
	// ID is unique among all requests.
	ID string
	// Organisation is the caller's organisation, as authenticated by its token.
	Organisation string
	// Pool is the name of the pool.
	Pool string
	// Class is the priority class; the zero value means [Normal].
	Class Class
	// Idempotent is true if running the request twice is harmless.
	Idempotent bool
	// IdempotencyKey identifies the caller's retries of one request; "" for none.
	IdempotencyKey string
	// Deadline is the time after which the caller no longer waits for the answer.
	Deadline time.Time
	// Hops is the number of times that the request was forwarded between entries.
	Hops int
	// Payload is the JSON value passed to the target.
	Payload json.RawMessage
}

// NewRequest returns the request described by s.
func NewRequest(s RequestSpec) Request {
	if s.Class == "" {
		s.Class = Normal
	}
	return Request{
		id:           s.ID,
		organisation: s.Organisation,
		pool:         s.Pool,
		class:        s.Class,
		idempotent:   s.Idempotent,
		key:          s.IdempotencyKey,
		deadline:     s.Deadline,
		hops:         s.Hops,
		payload:      s.Payload,
	}
}

// ID returns the request id.
func (r Request) ID() string { return r.id }

// Organisation returns the caller's organisation.
func (r Request) Organisation() string { return r.organisation }

// Pool returns the name of the pool.
func (r Request) Pool() string { return r.pool }

// Class returns the priority class.
func (r Request) Class() Class { return r.class }

// Idempotent reports whether running the request twice is harmless.
func (r Request) Idempotent() bool { return r.idempotent }

// IdempotencyKey returns the key that identifies the caller's retries of one
// request, or "".
func (r Request) IdempotencyKey() string { return r.key }

// Deadline returns the time after which the caller no longer waits for the answer.
func (r Request) Deadline() time.Time { return r.deadline }

// Hops returns the number of times that the request was forwarded between entries.
func (r Request) Hops() int { return r.hops }

// Payload returns the JSON value for the target. The caller must not change it.
func (r Request) Payload() json.RawMessage { return r.payload }

// Forwarded returns a copy of r with one more hop.
func (r Request) Forwarded() Request {
	r.hops++
	return r
}
