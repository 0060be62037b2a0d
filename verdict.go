package rock

// Verdict tells whether a request may have run on a target, and so whether it is
// safe to send it again.
type Verdict string

// The verdicts. Every answer and every refusal carries one of them.
const (
	// NotRun means that no target has started the request.
	NotRun Verdict = "not_run"
	// MayHaveRun means that a target may have started the request.
	MayHaveRun Verdict = "may_have_run"
	// Ran means that a target ran the request and its complete answer is known.
	Ran Verdict = "ran"
)

// Valid reports whether v is one of the defined verdicts.
func (v Verdict) Valid() bool {
	switch v {
	case NotRun, MayHaveRun, Ran:
		return true
	}
	return false
}

// Retryable reports whether a request with this verdict may be sent again.
// A request that is not idempotent may be sent again only if it did not run.
func (v Verdict) Retryable(idempotent bool) bool {
	return v == NotRun || idempotent && v == MayHaveRun
}
