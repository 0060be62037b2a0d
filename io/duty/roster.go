package duty

import (
	"time"

	rock "bramleyrock"
)

// Roster returns the status rows of all entries.
type Roster interface {
	// Statuses returns the status row of every registered entry as last read, or
	// nil if the rows have not been read yet.
	Statuses(now time.Time) []rock.EntryStatus
}
