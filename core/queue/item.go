package queue

import (
	"time"

	rock "bramleyrock"
)

// item is a waiting request.
type item struct {
	request  rock.Request
	ticket   Ticket
	queuedAt time.Time
	index    int
}

// before reports whether it should leave the queue before other.
func (it *item) before(other *item) bool {
	own, theirs := it.request, other.request
	if own.Class() != theirs.Class() {
		return own.Class() == rock.Urgent
	}
	if !own.Deadline().Equal(theirs.Deadline()) {
		return own.Deadline().Before(theirs.Deadline())
	}
	return it.ticket < other.ticket
}
