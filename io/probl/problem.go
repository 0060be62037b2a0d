package probl

import (
	"encoding/json"
	"errors"
	"time"

	rock "bramleyrock"
)

// Problem is the JSON form of a failure.
type Problem struct {
	// Op is the operation that failed.
	Op string `json:"op"`
	// Subject is what the operation was applied to.
	Subject string `json:"subject,omitempty"`
	// Reason is the class of the failure.
	Reason rock.Reason `json:"reason"`
	// Verdict states whether the work may have run.
	Verdict rock.Verdict `json:"verdict"`
	// Detail is the text of the cause.
	Detail string `json:"detail,omitempty"`
	// RetryAfterMS is the suggested wait before a retry, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Current is the record in force, in a version conflict.
	Current *rock.Record `json:"current,omitempty"`
	// Proposed is the record that was refused, in a version conflict.
	Proposed *rock.Record `json:"proposed,omitempty"`
}

// FromError returns err as a problem. An error that is not a [rock.Failure] becomes
// an Internal problem with verdict may_have_run.
func FromError(err error) Problem {
	var f *rock.Failure
	if !errors.As(err, &f) {
		return Problem{Op: "answer", Reason: rock.Internal, Verdict: rock.MayHaveRun, Detail: err.Error()}
	}
	p := Problem{
		Op:           f.Op(),
		Subject:      f.Subject(),
		Reason:       f.Reason(),
		Verdict:      f.Verdict(),
		RetryAfterMS: f.RetryAfter().Milliseconds(),
	}
	if cause := f.Unwrap(); cause != nil {
		p.Detail = cause.Error()
	}
	var v *rock.VersionConflict
	if errors.As(err, &v) {
		p.Current, p.Proposed = v.Current(), v.Proposed()
	}
	return p
}

// Failure returns p as a failure. A version conflict is restored as its cause;
// otherwise the cause is an error with the text of Detail.
func (p Problem) Failure() *rock.Failure {
	f := rock.Fail(p.Op, p.Subject, p.Reason, p.Verdict)
	f = f.RetryIn(time.Duration(p.RetryAfterMS) * time.Millisecond)
	switch {
	case p.Current != nil:
		return f.Because(rock.NewVersionConflict(p.Current.Key(), p.Current, p.Proposed))
	case p.Proposed != nil:
		return f.Because(rock.NewVersionConflict(p.Proposed.Key(), nil, p.Proposed))
	case p.Detail != "":
		return f.Because(errors.New(p.Detail))
	}
	return f
}

// decode decodes a problem body and reports whether it is valid, that is whether it
// has a reason and a valid verdict.
func decode(body []byte) (Problem, bool) {
	var p Problem
	if err := json.Unmarshal(body, &p); err != nil {
		return Problem{}, false
	}
	return p, p.Reason != "" && p.Verdict.Valid()
}
