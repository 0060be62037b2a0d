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

// TestLostAnswersTellTheTruth makes changes through four entries at once while
// the platform loses calls and answers and goes away for seconds. What was accepted is in the feed once,
// at the revision that was told; what was refused as not_run is not in it.
// Taking a lost answer for a call that did not happen breaks this.
func TestLostAnswersTellTheTruth(t *testing.T) {
	cases := map[string]struct {
		blind bool
		holds bool
	}{
		"settled by change id": {false, true},
		"sent again blindly":   {true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				defer w.stop()
				w.tune = func(s *books.Settings) {
					if c.blind {
						s.Table = blind{Table: s.Table}
					}
				}
				outcomes := replayLostAnswers(w)
				wrong := untrue(w, outcomes)
				t.Logf("%d changes, %d lost answers, %d untrue outcomes", lostChanges, w.depot.Stats().LostAnswers, len(wrong))
				assert.Check(t, (len(wrong) == 0) == c.holds, "%v", wrong)
			})
		})
	}
}

// blind takes a lost answer for a call that did not happen.
type blind struct {
	rock.Table
}

func (b blind) Commit(ctx context.Context, t rock.Transaction) error {
	err := b.Table.Commit(ctx, t)
	if rock.ReasonOf(err) == rock.OutcomeUnknown {
		return rock.Fail("commit", "table", rock.Unavailable, rock.NotRun).RetryIn(time.Millisecond)
	}
	return err
}

// outcome is what the author of a change was told.
type outcome struct {
	change rock.Change
	err    error
}

func replayLostAnswers(w *world) []outcome {
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

// untrue compares what authors were told with the feed.
func untrue(w *world, outcomes []outcome) []error {
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
