package books_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/books"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
)

const lostChanges = 300

// TestReportedOutcomesMatchTheFeed makes changes through four entries at once while
// the platform loses calls and responses and is unavailable for seconds at a time.
// An accepted change must be in the feed once, at the revision returned to the
// caller; a change refused as not_run must not be in it. Sending a commit again
// because its response was lost violates this.
func TestReportedOutcomesMatchTheFeed(t *testing.T) {
	cases := map[string]struct {
		resend bool
		holds  bool
	}{
		"resolved by change id":          {false, true},
		"sent again after lost response": {true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				defer w.stop()
				w.tune = func(s *books.Settings) {
					if c.resend {
						s.Table = resendingTable{Table: s.Table}
					}
				}
				outcomes := makeChangesWithLosses(w)
				wrong := wrongOutcomes(w, outcomes)
				t.Logf("%d changes, %d lost responses, %d wrong outcomes", lostChanges, w.depot.Stats().LostAnswers, len(wrong))
				assert.Check(t, (len(wrong) == 0) == c.holds, "%v", wrong)
			})
		})
	}
}

// resendingTable reports a commit whose outcome is unknown as one that did not run
// and may be sent again.
type resendingTable struct {
	rock.Table
}

func (r resendingTable) Commit(ctx context.Context, t rock.Transaction) error {
	err := r.Table.Commit(ctx, t)
	if rock.ReasonOf(err) == rock.OutcomeUnknown {
		return rock.Fail("commit", "table", rock.Unavailable, rock.NotRun).RetryIn(time.Millisecond)
	}
	return err
}

// outcome is the result of a change as its caller received it.
type outcome struct {
	change rock.Change
	err    error
}

// makeChangesWithLosses makes lostChanges changes, each under new random faults, with
// an outage at every twentieth, and returns their outcomes.
func makeChangesWithLosses(w *world) []outcome {
	random := rand.New(rand.NewPCG(5, 0))
	entries := w.startAll(2, "a", "b")
	w.mustChange(entries[0], "first")
	outcomes := make([]outcome, lostChanges)
	g := group.New(context.Background())
	for i := range outcomes {
		outage := i%20 == 10
		w.depot.SetFaults(depot.Faults{LoseShare: 0.3, LoseCalls: random.IntN(2), SlowMS: int64(random.IntN(60))})
		if outage {
			time.Sleep(time.Second)
			w.depot.SetFaults(depot.Faults{LoseShare: 1})
		}
		n, quota := entries[random.IntN(len(entries))], random.IntN(3)
		g.Go("change", func(context.Context) error {
			r := organisation(fmt.Sprintf("o%d", i), 0, quota)
			outcomes[i].change, outcomes[i].err = n.change(fmt.Sprintf("c%d", i), r)
			return nil
		})
		if outage {
			synctest.Wait()
			w.depot.SetFaults(depot.Faults{Down: true})
			time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
		}
		time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
	}
	assert.Check(w.t, g.Wait())
	w.depot.SetFaults(depot.Faults{})
	time.Sleep(10 * time.Second)
	return outcomes
}

// wrongOutcomes returns an error for each outcome that contradicts the feed.
func wrongOutcomes(w *world, outcomes []outcome) []error {
	all, _, err := w.running()[0].books.History(context.Background(), books.Filter{Limit: 10 * lostChanges})
	assert.Check(w.t, err)
	found := map[string][]rock.Revision{}
	for _, c := range all {
		found[c.ID()] = append(found[c.ID()], c.Revision())
	}
	var wrong []error
	verdicts := map[rock.Verdict]int{}
	for i, o := range outcomes {
		verdicts[rock.VerdictOf(o.err)]++
		at := found[fmt.Sprintf("c%d", i)]
		switch {
		case len(at) > 1:
			wrong = append(wrong, fmt.Errorf("c%d is in the feed at %v", i, at))
		case o.err == nil && (len(at) != 1 || at[0] != o.change.Revision()):
			wrong = append(wrong, fmt.Errorf("c%d was accepted at %d and is at %v", i, o.change.Revision(), at))
		case rock.VerdictOf(o.err) == rock.NotRun && len(at) != 0:
			wrong = append(wrong, errors.Join(fmt.Errorf("c%d is at %v", i, at), o.err))
		}
	}
	w.t.Logf("verdicts: %v", verdicts)
	return wrong
}
