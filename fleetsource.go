package rock

// FleetSource provides the configuration that is currently in force.
type FleetSource interface {
	// Fleet returns the configuration in force, or false if none is known yet.
	Fleet() (Fleet, bool)
}
