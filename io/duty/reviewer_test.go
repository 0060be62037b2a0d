package duty_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
	"bramleyrock/core/record"
	"bramleyrock/io/duty"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/fakes/fleet"

	"gotest.tools/v3/assert"
)

// TestReviewReadsTheListWhenNeeded checks that a review reads the host list only if
// the change closes a host and the last list is old, and that without a recent
// list the change is refused as unavailable.
func TestReviewReadsTheListWhenNeeded(t *testing.T) {
	d := depot.New(depot.Settings{})
	d.AddHost("h0", "")
	d.AddHost("h1", "")
	b := fleet.NewBook(nil, newRecord(rock.KindBudget, "tins", `{"pool":"tins","min_available":1}`),
		newHost("h0", "a", "a1", "tins"), newHost("h1", "a", "a1", "tins"))
	f, _ := b.Fleet()
	from, _ := f.Record(rock.NewKey(rock.KindHost, "h0"))
	edit := func(change func(h *record.HostSpec)) []rock.Edit {
		h, err := record.HostSpecOf(from)
		assert.NilError(t, err)
		change(&h)
		to, err := record.Rewrite(from, h)
		assert.NilError(t, err)
		return []rock.Edit{rock.NewEdit(from.Key(), &from, &to)}
	}
	r := duty.NewRefreshingReviewer(budget.New(budget.Settings{}), d)
	now := time.Now()
	assert.NilError(t, r.Review(now, f, edit(func(h *record.HostSpec) { h.Slots = 4 })))
	assert.Equal(t, d.Stats().Lists, uint64(0))
	for range 3 {
		assert.NilError(t, r.Review(now, f, edit(func(h *record.HostSpec) { h.Open = false })))
	}
	assert.Equal(t, d.Stats().Lists, uint64(1))
	d.SetGone("h1", true)
	err := r.Review(now.Add(time.Minute), f, edit(func(h *record.HostSpec) { h.Open = false }))
	assert.Equal(t, rock.ReasonOf(err), rock.BudgetExceeded)
	d.SetFaults(depot.Faults{HostListDown: true})
	err = r.Review(now.Add(time.Hour), f, edit(func(h *record.HostSpec) { h.Open = false }))
	assert.Equal(t, rock.ReasonOf(err), rock.Unavailable)
}
