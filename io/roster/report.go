package roster

import rock "bramleyrock"

// Report is what an entry says of itself in its status row.
type Report struct {
	// Revision is the revision in force. It must be read before InFlight is
	// counted, so that the count holds for that revision.
	Revision rock.Revision
	// InFlight is the number of tasks in flight on each host that takes no
	// new work, zeros included.
	InFlight map[string]int
}
