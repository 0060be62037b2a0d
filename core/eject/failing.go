package eject

import "time"

// failing is what is known of work that failed.
type failing struct {
	hosts []string
	until time.Time
	probe time.Time
}
