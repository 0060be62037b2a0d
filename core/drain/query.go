package drain

import (
	"time"

	rock "bramleyrock"
)

// defaultSkew is the default of [Query.Skew].
const defaultSkew = 2 * time.Second

// Query describes a closed host for [View.Drained].
type Query struct {
	// Host is the host's name.
	Host string
	// Zone is the host's availability zone.
	Zone string
	// OpenRevision is a revision in which the host was still open: the last one
	// before the change that closed it, or an earlier one if the host's record
	// did not change in between.
	OpenRevision rock.Revision
	// ClosedAt is when the host was closed.
	ClosedAt time.Time
	// CountedOut names entries that an operator has confirmed to be stopped, each
	// as "<name>/<incarnation>", or "zone/<zone>" for a zone that has no entry.
	CountedOut []string
	// Skew is the greatest difference between the clocks of an entry and of the
	// platform, plus the time that a task takes to reach its target; the default
	// is 2 s.
	Skew time.Duration
}
