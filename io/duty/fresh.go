package duty

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
)

const (
	// freshAge is how old the list of hosts may be for a review to use it
	// without reading it again.
	freshAge = 5 * time.Second
	// freshTimeout bounds the reading of the list for a review.
	freshTimeout = 2 * time.Second
)

// RefreshingReviewer is a [rock.Reviewer] by budgets that reads the platform's list of hosts
// when a change takes hosts away and the list seen last is old, so that an entry
// need not read the list all the time.
type RefreshingReviewer struct {
	budgets *budget.Reviewer
	list    rock.HostList
}

var _ rock.Reviewer = RefreshingReviewer{}

// NewRefreshingReviewer returns a reviewer by the budgets that reads the list.
func NewRefreshingReviewer(budgets *budget.Reviewer, list rock.HostList) RefreshingReviewer {
	return RefreshingReviewer{budgets: budgets, list: list}
}

// Review implements [rock.Reviewer]. If the list cannot be read, the budgets
// decide by the one seen last, or refuse if that is too old.
func (f RefreshingReviewer) Review(now time.Time, before rock.Fleet, edits []rock.Edit) error {
	if f.budgets.Age(now) > freshAge && f.budgets.Takes(before, edits) {
		f.read(now)
	}
	return f.budgets.Review(now, before, edits)
}

func (f RefreshingReviewer) read(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), freshTimeout)
	defer cancel()
	if hosts, err := f.list.List(ctx); err == nil {
		f.budgets.Observe(now, hosts)
	}
}
