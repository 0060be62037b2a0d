package sched

import "time"

// handedCount is the requests handed since the peer told its load.
type handedCount struct {
	told  time.Time
	count int
}
