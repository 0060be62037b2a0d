package sched

import "time"

// forwardCount is the requests handed since the peer told its load.
type forwardCount struct {
	loadAt time.Time
	count  int
}
