package sched

import (
	"bramleyrock/core/place"
	"bramleyrock/core/queue"
)

// Settings holds the parameters of a [Scheduler].
type Settings struct {
	// Place holds the parameters of placement.
	Place place.Settings
	// Queue holds the parameters of each pool's queue; Pool is filled in.
	Queue queue.Settings
}
