package forms

import (
	"time"

	rock "bramleyrock"
)

// Maintenance is a host's progress in a wave.
type Maintenance struct {
	// Wave is the name of the wave.
	Wave string `json:"wave"`
	// Step is what is being done to the host.
	Step MaintenanceStep `json:"step"`
	// Since is when the step began.
	Since time.Time `json:"since"`
	// After is the last revision in which the host is known to be open.
	After rock.Revision `json:"after"`
	// Boots is how often the host had booted before the wave rebooted it.
	Boots uint64 `json:"boots"`
}
