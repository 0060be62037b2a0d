package record

// MaintenanceStep is a step of a host's maintenance.
type MaintenanceStep string

// The steps, in order.
const (
	// StepDraining means that the host is closed to new work and that the tasks in
	// flight on it are ending.
	StepDraining MaintenanceStep = "draining"
	// StepRebooting means that the platform is rebooting the host.
	StepRebooting MaintenanceStep = "rebooting"
	// StepDone means that the host is up again and open to new work.
	StepDone MaintenanceStep = "done"
)
