package rock

import (
	"errors"
	"fmt"
	"time"
)

// Failure is a classified error: the operation, what it was applied to, why it
// failed and whether the work may have run.
type Failure struct {
	op         string
	subject    string
	reason     Reason
	verdict    Verdict
	retryAfter time.Duration
	cause      error
}

// Fail returns a Failure of operation op on subject.
func Fail(op, subject string, reason Reason, verdict Verdict) *Failure {
	return &Failure{op: op, subject: subject, reason: reason, verdict: verdict}
}

// Because returns a copy of f that wraps cause.
func (f *Failure) Because(cause error) *Failure {
	c := *f
	c.cause = cause
	return &c
}

// Becausef returns a copy of f that wraps an error made by [fmt.Errorf].
func (f *Failure) Becausef(format string, args ...any) *Failure {
	return f.Because(fmt.Errorf(format, args...))
}

// RetryIn returns a copy of f that asks the caller to wait d before retrying.
func (f *Failure) RetryIn(d time.Duration) *Failure {
	c := *f
	c.retryAfter = d
	return &c
}

// Op returns the operation that failed, such as "admit".
func (f *Failure) Op() string { return f.op }

// Subject returns the object of the operation, such as "pool tins".
func (f *Failure) Subject() string { return f.subject }

// Reason returns the machine-readable cause.
func (f *Failure) Reason() Reason { return f.reason }

// Verdict returns whether the work may have run.
func (f *Failure) Verdict() Verdict { return f.verdict }

// RetryAfter returns the suggested wait before a retry, or zero for none.
func (f *Failure) RetryAfter() time.Duration { return f.retryAfter }

// Error implements error.
func (f *Failure) Error() string {
	s := f.op
	if f.subject != "" {
		s += " " + f.subject
	}
	s += ": " + string(f.reason)
	if f.cause != nil {
		s += ": " + f.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// VerdictOf returns the verdict of the first [Failure] in err's chain. It returns
// [MayHaveRun] if there is none, and [Ran] if err is nil.
func VerdictOf(err error) Verdict {
	if err == nil {
		return Ran
	}
	var f *Failure
	if errors.As(err, &f) {
		return f.verdict
	}
	return MayHaveRun
}

// ReasonOf returns the reason of the first [Failure] in err's chain. It returns
// [Internal] if there is none, and "" if err is nil.
func ReasonOf(err error) Reason {
	if err == nil {
		return ""
	}
	var f *Failure
	if errors.As(err, &f) {
		return f.reason
	}
	return Internal
}
