package eject

import "time"

// failureRecord records the recent failures of one piece of work.
type failureRecord struct {
	hosts     []string
	expiresAt time.Time
	nextProbe time.Time
}
