package books_test

import (
	"context"
	"errors"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/books"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
)

func TestChangeIsInForceEverywhere(t *testing.T) {
	d := depot.New(depot.Settings{})
	a, b := entry(t, settings(d)), entry(t, settings(d))
	c := change(t, a, "c1", organisation("alpha", 0, 40))
	assert.Equal(t, c.Revision(), rock.Revision(1))
	assert.Equal(t, a.Revision(), rock.Revision(1))
	waitForRevision(t, b, 1)
	assert.Equal(t, b.Config().Quota("alpha"), 40)
	assert.Assert(t, b.Confirmed())
	found, err := b.FindChange(context.Background(), "c1")
	assert.NilError(t, err)
	assert.Equal(t, found.Who(), "operator")
}

// An operator who proposes to replace an outdated version gets a conflict with both
// the current and the proposed record, and nothing is committed.
func TestVersionConflictHoldsBothRecords(t *testing.T) {
	d := depot.New(depot.Settings{})
	a, b := entry(t, settings(d)), entry(t, settings(d))
	change(t, a, "c1", organisation("alpha", 0, 40))
	change(t, a, "c2", organisation("alpha", 1, 50))
	_, err := b.Change(context.Background(), time.Now(), proposal("c3", organisation("alpha", 1, 60)))
	var v *rock.VersionConflict
	assert.Assert(t, errors.As(err, &v), "%v", err)
	assert.Equal(t, string(v.Current().Body()), `{"quota":50}`)
	assert.Equal(t, string(v.Proposed().Body()), `{"quota":60}`)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
}

// A commit whose call or response is lost is resolved: its change is accepted once.
// The lookups and the fencing write may be lost as well.
func TestLostAnswersAreResolved(t *testing.T) {
	cases := map[string]depot.Faults{
		"took effect":          {LoseAnswers: 1},
		"did not take effect":  {LoseCalls: 1},
		"fence is lost too":    {LoseCalls: 2},
		"both sorts":           {LoseCalls: 1, LoseAnswers: 1},
		"answer of the fence":  {LoseAnswers: 2},
		"answers of all calls": {LoseAnswers: 4},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			d := depot.New(depot.Settings{})
			b := books.New(settings(d))
			change(t, b, "c1", organisation("alpha", 0, 1))
			d.SetFaults(f)
			c := change(t, b, "c2", organisation("alpha", 1, 2))
			assert.Equal(t, c.Revision(), rock.Revision(2))
			d.SetFaults(depot.Faults{})
			all, _, err := b.History(context.Background(), books.Filter{})
			assert.NilError(t, err)
			assert.Equal(t, len(all), 2)
		})
	}
}

// The response to a commit is lost and the platform becomes unavailable, so the
// outcome cannot be looked up. The failure must not claim that nothing ran.
func TestUnknownOutcomeIsReported(t *testing.T) {
	d := depot.New(depot.Settings{})
	s := settings(d)
	s.OutcomeTimeout = 50 * time.Millisecond
	s.Table = &downAfterCommit{Table: d, depot: d}
	_, err := books.New(s).Change(context.Background(), time.Now(), proposal("c1", organisation("alpha", 0, 1)))
	assert.Equal(t, rock.ReasonOf(err), rock.OutcomeUnknown)
	assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
	d.SetFaults(depot.Faults{})
	c, err := books.New(settings(d)).FindChange(context.Background(), "c1")
	assert.NilError(t, err)
	assert.Equal(t, c.Revision(), rock.Revision(1))
}

// downAfterCommit is a table that loses the response to a commit and is
// unavailable from then on.
type downAfterCommit struct {
	rock.Table
	depot *depot.Depot
}

func (c *downAfterCommit) Commit(ctx context.Context, t rock.Transaction) error {
	c.depot.SetFaults(depot.Faults{LoseAnswers: 1})
	err := c.Table.Commit(ctx, t)
	c.depot.SetFaults(depot.Faults{Down: true})
	return err
}

// A change that is sent again with the same id returns the first outcome; another
// change with that id is refused.
func TestChangeIDIsUsedOnce(t *testing.T) {
	b := books.New(settings(depot.New(depot.Settings{})))
	first := change(t, b, "c1", organisation("alpha", 0, 1))
	again := change(t, b, "c1", organisation("alpha", 0, 1))
	assert.Equal(t, again.Revision(), first.Revision())
	for _, other := range []rock.Record{organisation("beta", 0, 1), organisation("alpha", 0, 2), organisation("alpha", 1, 1)} {
		_, err := b.Change(context.Background(), time.Now(), proposal("c1", other))
		assert.Equal(t, rock.ReasonOf(err), rock.Duplicate)
	}
	assert.Equal(t, b.Revision(), rock.Revision(1))
}

func TestPlatformDownRefusesChanges(t *testing.T) {
	d := depot.New(depot.Settings{})
	b := books.New(settings(d))
	d.SetFaults(depot.Faults{Down: true})
	_, err := b.Change(context.Background(), time.Now(), proposal("c1", organisation("alpha", 0, 1)))
	assert.Equal(t, rock.ReasonOf(err), rock.Unavailable)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
}

func TestDryRunWritesNothing(t *testing.T) {
	d := depot.New(depot.Settings{})
	b := books.New(settings(d))
	p := proposal("c1", organisation("alpha", 0, 1))
	p.DryRun = true
	c, err := b.Change(context.Background(), time.Now(), p)
	assert.NilError(t, err)
	assert.Equal(t, c.Revision(), rock.Revision(1))
	assert.Equal(t, d.Stats().Writes, uint64(0))
}

func TestGuardIsPartOfTheTransaction(t *testing.T) {
	d := depot.New(depot.Settings{})
	b := books.New(settings(d))
	p := proposal("c1", organisation("alpha", 0, 1))
	p.Guard.Require("lease/waves", 3)
	_, err := b.Change(context.Background(), time.Now(), p)
	assert.Equal(t, rock.ReasonOf(err), rock.Conflict)
	p.Guard = rock.Transaction{}
	p.Guard.Require("lease/waves", 0)
	p.Guard.Put("lease/waves", []byte("{}"))
	_, err = b.Change(context.Background(), time.Now(), p)
	assert.NilError(t, err)
	rows, err := d.Read(context.Background(), "lease/waves")
	assert.NilError(t, err)
	assert.Equal(t, string(rows[0].Value()), "{}")
}

// reviewer refuses a quota of 11.
type reviewer struct{}

func (reviewer) Review(_ time.Time, _ rock.Fleet, edits []rock.Edit) error {
	if string(edits[0].To().Body()) == `{"quota":11}` {
		return rock.Fail("review", "organisation alpha", rock.BudgetExceeded, rock.NotRun)
	}
	return nil
}

func TestReviewerRefuses(t *testing.T) {
	s := settings(depot.New(depot.Settings{}))
	s.Reviewer = reviewer{}
	b := books.New(s)
	_, err := b.Change(context.Background(), time.Now(), proposal("c1", organisation("alpha", 0, 11)))
	assert.Equal(t, rock.ReasonOf(err), rock.BudgetExceeded)
	change(t, b, "c2", organisation("alpha", 0, 10))
}
