package sched

import (
	"bramleyrock/core/eject"
	"bramleyrock/core/place"
	"bramleyrock/core/queue"
)

// defaultMaxAttempts is how often a request may be tried in all.
const defaultMaxAttempts = 4

// Settings holds the parameters of a [Scheduler].
type Settings struct {
	// Place holds the parameters of placement and ejection.
	Place place.Settings
	// Queue holds the parameters of each pool's queue; Pool is filled in.
	Queue queue.Settings
	// Quarantine holds the parameters of quarantine.
	Quarantine eject.Settings
	// MaxAttempts is how often a request may be tried in all; zero means 4.
	MaxAttempts int
	// RetriesPerSuccess is the number of retries that a success pays for; zero means
	// 0.1.
	RetriesPerSuccess float64
	// UnlimitedRetries turns the retry budget off.
	UnlimitedRetries bool
}
