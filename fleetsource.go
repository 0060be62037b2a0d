package rock

// FleetSource gives the configuration that is in force at the moment.
type FleetSource interface {
	// Fleet returns the configuration in force, or false if none is known yet.
	Fleet() (Fleet, bool)
}
