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

// before reports whether a goes before b.
func (a *item) before(b *item) bool {
	ra, rb := a.request, b.request
	if ra.Class() != rb.Class() {
		return ra.Class() == rock.Urgent
	}
	if !ra.Deadline().Equal(rb.Deadline()) {
		return ra.Deadline().Before(rb.Deadline())
	}
	return a.ticket < b.ticket
}
