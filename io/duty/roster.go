package duty

import (
	"context"

	rock "bramleyrock"
)

// Roster gives the status rows of all entries.
type Roster interface {
	// Statuses returns the status row of every registered entry.
	Statuses(ctx context.Context) ([]rock.EntryStatus, error)
}
