package route

import (
	"errors"

	rock "bramleyrock"
)

// history is what happened to a request so far.
type history struct {
	request rock.Request
	// attempts counts the attempts that failed.
	attempts int
	// sent is true if the last attempt reached a target or peer.
	sent bool
	// forwarded is true once the request was forwarded.
	forwarded bool
	// tried lists the hosts that were tried.
	tried []string
	// verdict joins the verdicts of all attempts.
	verdict rock.Verdict
}

func newHistory(r rock.Request) *history {
	return &history{request: r, verdict: rock.NotRun}
}

// add notes a failed attempt.
func (h *history) add(err error) {
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

// failure returns the last error with the verdict of all attempts: a request
// that was refused at its last attempt may have run at an earlier one.
func (h *history) failure(err error) error {
	if rock.VerdictOf(err) == h.verdict {
		return err
	}
	wait := rock.Fail("route", "request "+h.request.ID(), rock.ReasonOf(err), h.verdict).Because(err)
	var f *rock.Failure
	if errors.As(err, &f) {
		return wait.RetryIn(f.RetryAfter())
	}
	return wait
}
