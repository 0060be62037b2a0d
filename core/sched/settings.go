package sched

import (
	"bramleyrock/core/eject"
	"bramleyrock/core/place"
	"bramleyrock/core/queue"
)

// defaultMaxAttempts is the default of [Settings.MaxAttempts].
const defaultMaxAttempts = 4

// Settings holds the parameters of a [Scheduler].
type Settings struct {
	// Place holds the parameters of placement and ejection.
	Place place.Settings
	// Queue holds the parameters of each pool's queue; its field Pool is ignored.
	Queue queue.Settings
	// Quarantine holds the parameters of the quarantine of failing requests.
	Quarantine eject.Settings
	// MaxAttempts is how often a request is tried in all; zero means 4.
	MaxAttempts int
	// RetriesPerSuccess is the number of retries that each success adds to a
	// pool's retry budget; zero means 0.1.
	RetriesPerSuccess float64
	// UnlimitedRetries turns the retry budget off.
	UnlimitedRetries bool
}
