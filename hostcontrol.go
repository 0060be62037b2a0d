package rock

import "context"

// HostPhase is what the platform says of a host.
type HostPhase string

// The phases of a host.
const (
	HostUp            HostPhase = "up"
	HostMoving        HostPhase = "moving"
	HostInMaintenance HostPhase = "upkeep"
	HostDown          HostPhase = "down"
	HostPhaseOther    HostPhase = "other"
)

// PlatformHost is a host as the platform lists it.
type PlatformHost struct {
	Name     string
	Pool     string
	Phase    HostPhase
	Zone     string
	Labels   []string
	Capacity Resources
	// Worker is the id of the worker on the host, or "".
	Worker string
}

// DutyHolder identifies who orders a change of a host.
type DutyHolder struct {
	// Name is the entry's name.
	Name string
	// FencingToken grows whenever the duty changes hands.
	FencingToken uint64
}

// HostControl changes hosts through the platform. A reply says whether the
// order was taken; an error with verdict [MayHaveRun] leaves it open.
type HostControl interface {
	// Hosts lists all hosts.
	Hosts(ctx context.Context) ([]PlatformHost, error)
	// Move puts a host into another pool and ends all that runs on it.
	Move(ctx context.Context, by DutyHolder, host, pool string) (Reply, error)
	// Maintain begins a host's maintenance and ends all that runs on it.
	Maintain(ctx context.Context, by DutyHolder, host string, wave int64) (Reply, error)
}
