package duty

import (
	"time"

	rock "bramleyrock"
)

// Observer is told the platform's list of hosts each time that it was read.
type Observer interface {
	// Observe takes the list as read at the time now.
	Observe(now time.Time, hosts []rock.HostStatus)
}
