package duty

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/budget"
)

const (
	// maxListAge is the age up to which a review uses the list of hosts without
	// reading it again.
	maxListAge = 5 * time.Second
	// listTimeout is the timeout for reading the list during a review.
	listTimeout = 2 * time.Second
)

// RefreshingReviewer is a [rock.Reviewer] that enforces budgets. It reads the
// platform's list of hosts when a change removes hosts from a pool and the list
// read last is more than 5 s old, so that an entry need not poll the list.
type RefreshingReviewer struct {
	budgets *budget.Reviewer
	list    rock.HostList
}

var _ rock.Reviewer = RefreshingReviewer{}

// NewRefreshingReviewer returns a reviewer that refreshes the budgets from the list.
func NewRefreshingReviewer(budgets *budget.Reviewer, list rock.HostList) RefreshingReviewer {
	return RefreshingReviewer{budgets: budgets, list: list}
}

// Review implements [rock.Reviewer]. If the list cannot be read, the budgets
// use the one read last, or refuse the change if that is too old.
func (r RefreshingReviewer) Review(now time.Time, before rock.Fleet, edits []rock.Edit) error {
	if r.budgets.ListAge(now) > maxListAge && r.budgets.RemovesHosts(before, edits) {
		r.refresh(now)
	}
	return r.budgets.Review(now, before, edits)
}

func (r RefreshingReviewer) refresh(now time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	if hosts, err := r.list.List(ctx); err == nil {
		r.budgets.Observe(now, hosts)
	}
}
