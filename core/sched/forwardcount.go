package sched

import "time"

// forwardCount is the number of requests forwarded since the load reported at
// loadAt.
type forwardCount struct {
	loadAt time.Time
	count  int
}
