package drain

import (
	"time"

	rock "bramleyrock"
)

// defaultSkew is the default of [Question.Skew].
const defaultSkew = 2 * time.Second

// Query asks whether a host is drained.
type Query struct {
	// Host is the host's name.
	Host string
	// Zone is the host's availability zone.
	Zone string
	// OpenRevision is a revision in which the host was still open: the last one
	// before the change that closed it, or an earlier one since when its
	// record did not change.
	OpenRevision rock.Revision
	// ClosedAt is when the host was closed.
	ClosedAt time.Time
	// CountedOut names entries that an operator vouches for, each as
	// "<name>/<incarnation>", or "zone/<zone>" for a zone that has no entry.
	CountedOut []string
	// Skew is by how much the clocks of an entry and of the platform may
	// differ, and the time that a task is on its way to its target; the
	// default is 2 s.
	Skew time.Duration
}
