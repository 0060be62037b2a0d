package retry

import (
	"errors"

	rock "bramleyrock"
)

// History records the attempts of one request and their combined verdict.
type History struct {
	request  rock.Request
	attempts int
	tried    []string
	verdict  rock.Verdict
}

// NewHistory returns the history of a request without attempts.
func NewHistory(r rock.Request) *History {
	return &History{request: r, verdict: rock.NotRun}
}

// FailedAttempts returns the number of attempts that failed.
func (h *History) FailedAttempts() int { return h.attempts }

// TriedHosts returns the hosts on which the request was tried. The caller must
// not change the slice.
func (h *History) TriedHosts() []string { return h.tried }

// RecordHost records that the request is tried on a host.
func (h *History) RecordHost(host string) { h.tried = append(h.tried, host) }

// RecordFailure records a failed attempt.
func (h *History) RecordFailure(err error) {
	h.attempts++
	switch rock.VerdictOf(err) {
	case rock.MayHaveRun:
		h.verdict = rock.MayHaveRun
	case rock.Ran:
		if h.verdict == rock.NotRun {
			h.verdict = rock.Ran
		}
	}
}

// Retryable reports whether it is safe and useful to retry the request after err.
// It does not consider the budget or the deadline.
func (h *History) Retryable(err error) bool {
	switch rock.ReasonOf(err) {
	case rock.BadInput, rock.TooLarge, rock.Quarantined, rock.Cancelled, rock.DeadlineExceeded:
		return false
	}
	return rock.VerdictOf(err).Retryable(h.request.Idempotent())
}

// FinalError returns the error with which the request ends: the last error, with
// the verdict of all attempts, since a request that was refused at its last
// attempt may have run at an earlier one.
func (h *History) FinalError(err error) error {
	if rock.VerdictOf(err) == h.verdict {
		return err
	}
	failure := rock.Fail("route", "request "+h.request.ID(), rock.ReasonOf(err), h.verdict).Because(err)
	var f *rock.Failure
	if errors.As(err, &f) {
		return failure.RetryIn(f.RetryAfter())
	}
	return failure
}
