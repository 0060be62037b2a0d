package roster

import rock "bramleyrock"

// Report is the part of an entry's status row that changes while the entry runs.
type Report struct {
	// Revision is the revision in force. It must be read before InFlight is
	// counted, so that the counts hold for that revision.
	Revision rock.Revision
	// InFlight is the number of tasks in flight on each host that accepts no new
	// tasks, including zeros.
	InFlight map[string]int
}
