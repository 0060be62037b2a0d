package eject

import "time"

// failureRecord is what is known of work that failed.
type failureRecord struct {
	hosts            []string
	quarantinedUntil time.Time
	nextProbe        time.Time
}
