package entry

import (
	"context"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/roster"
)

// uncachedStatuses reads the status rows of all entries from the platform on
// each call, for the duties. Rows cached before a host was closed could lack an
// entry that has registered since and still considers the host open.
type uncachedStatuses struct {
	roster *roster.Roster
}

// Statuses returns the status rows of all entries, or nil if they cannot be read.
func (u uncachedStatuses) Statuses(time.Time) []rock.EntryStatus {
	rows, err := u.roster.Statuses(context.Background())
	if err != nil {
		return nil
	}
	return rows
}
