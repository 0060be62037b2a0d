package eject

import "time"

// failureRecord holds the hosts on which a piece of work failed, when the record
// expires, and when the next probe is let through.
type failureRecord struct {
	hosts     []string
	expiresAt time.Time
	nextProbe time.Time
}
