package retry_test

import (
	"errors"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/retry"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBudget(t *testing.T) {
	var b retry.Budget
	assert.Assert(t, !b.TryWithdraw(start), "a new budget is empty")
	for i := range 100 {
		b.RecordSuccess(start.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	retries := 0
	for b.TryWithdraw(start.Add(time.Second)) {
		retries++
	}
	assert.Assert(t, retries >= 4 && retries <= 10, "%d retries for 100 successes in the last second", retries)
	for range 20 {
		b.RecordSuccess(start.Add(2 * time.Second))
	}
	assert.Assert(t, b.TryWithdraw(start.Add(time.Hour)), "one retry stays in the budget after a long idle time")
	assert.Assert(t, !b.TryWithdraw(start.Add(time.Hour)))
}

func TestHistoryRetryable(t *testing.T) {
	cases := map[string]struct {
		err        error
		idempotent bool
		want       bool
	}{
		"not run":                    {rock.Fail("run", "", rock.Unavailable, rock.NotRun), false, true},
		"may have run":               {rock.Fail("run", "", rock.Unavailable, rock.MayHaveRun), false, false},
		"may have run, idempotent":   {rock.Fail("run", "", rock.Truncated, rock.MayHaveRun), true, true},
		"unclassified":               {errors.New("broken pipe"), false, false},
		"caller cancelled":           {rock.Fail("run", "", rock.Cancelled, rock.NotRun), true, false},
		"deadline passed":            {rock.Fail("run", "", rock.DeadlineExceeded, rock.NotRun), true, false},
		"target rejects the payload": {rock.Fail("run", "", rock.BadInput, rock.NotRun), true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := retry.NewHistory(rock.NewRequest(rock.RequestSpec{Idempotent: c.idempotent}))
			h.RecordFailure(c.err)
			assert.Equal(t, h.Retryable(c.err), c.want)
		})
	}
}

func TestLastRefusalKeepsEarlierVerdict(t *testing.T) {
	h := retry.NewHistory(rock.NewRequest(rock.RequestSpec{Idempotent: true}))
	h.RecordFailure(rock.Fail("run", "h1", rock.Truncated, rock.MayHaveRun))
	refused := rock.Fail("admit", "pool tins", rock.Overloaded, rock.NotRun).RetryIn(time.Second)
	h.RecordFailure(refused)
	err := h.FinalError(refused)
	assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
	assert.Equal(t, rock.ReasonOf(err), rock.Overloaded)
	var f *rock.Failure
	assert.Assert(t, errors.As(err, &f))
	assert.Equal(t, f.RetryAfter(), time.Second)
}
