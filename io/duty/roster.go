package duty

import (
	"time"

	rock "bramleyrock"
)

// Roster gives the status rows of all entries.
type Roster interface {
	// Statuses returns the status row of every registered entry as last read;
	// nil if the rows were not read yet.
	Statuses(now time.Time) []rock.EntryStatus
}
