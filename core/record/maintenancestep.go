package record

// MaintenanceStep is a step of a host's maintenance.
type MaintenanceStep string

// The steps, in their order.
const (
	// StepDraining means that work in flight on the host ends.
	StepDraining MaintenanceStep = "draining"
	// StepRebooting means that the platform restarts the host.
	StepRebooting MaintenanceStep = "rebooting"
	// StepDone means that the host is back and open.
	StepDone MaintenanceStep = "done"
)
