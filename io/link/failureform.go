package link

import (
	"errors"
	"time"

	rock "bramleyrock"
)

// failureForm is a failure on the wire.
type failureForm struct {
	Op         string       `cbor:"1,keyasint"`
	Subject    string       `cbor:"2,keyasint,omitempty"`
	Reason     rock.Reason  `cbor:"3,keyasint"`
	Verdict    rock.Verdict `cbor:"4,keyasint"`
	RetryAfter int64        `cbor:"5,keyasint,omitempty"` // milliseconds
	Cause      string       `cbor:"6,keyasint,omitempty"`
}

func formOfFailure(op operation, err error) *failureForm {
	var f *rock.Failure
	if !errors.As(err, &f) {
		return &failureForm{Op: string(op), Reason: rock.Internal, Verdict: rock.MayHaveRun, Cause: err.Error()}
	}
	form := &failureForm{
		Op:         f.Op(),
		Subject:    f.Subject(),
		Reason:     f.Reason(),
		Verdict:    f.Verdict(),
		RetryAfter: f.RetryAfter().Milliseconds(),
	}
	if cause := f.Unwrap(); cause != nil {
		form.Cause = cause.Error()
	}
	return form
}

// failure returns the failure that the peer reported. A verdict that this
// program does not know counts as may_have_run.
func (f *failureForm) failure() error {
	verdict := f.Verdict
	if !verdict.Valid() {
		verdict = rock.MayHaveRun
	}
	failure := rock.Fail(f.Op, f.Subject, f.Reason, verdict).RetryIn(time.Duration(f.RetryAfter) * time.Millisecond)
	if f.Cause != "" {
		failure = failure.Because(errors.New(f.Cause))
	}
	return failure
}
