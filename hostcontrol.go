package rock

import "context"

// HostPhase is the state of a host as reported by the platform.
type HostPhase string

// The phases of a host. HostPhaseOther stands for every phase that this program
// does not know.
const (
	HostUp            HostPhase = "up"
	HostMoving        HostPhase = "moving"
	HostInMaintenance HostPhase = "upkeep"
	HostDown          HostPhase = "down"
	HostPhaseOther    HostPhase = "other"
)

// PlatformHost is a host as listed by the platform.
type PlatformHost struct {
	Name string
	// Pool is the pool that the host is in.
	Pool  string
	Phase HostPhase
	// Zone is the availability zone.
	Zone   string
	Labels []string
	// Capacity is the total resources of the host.
	Capacity Resources
	// Worker is the id of the worker on the host, or "".
	Worker string
}

// DutyHolder identifies the entry that changes a host. A duty is a task that only
// one entry performs at a time, such as moving hosts.
type DutyHolder struct {
	// Name is the entry's name.
	Name string
	// FencingToken grows whenever another entry takes over the duty, so that the
	// platform can refuse the former holder.
	FencingToken uint64
}

// HostControl changes hosts through the platform. A reply tells whether the
// platform accepted the order; after an error with verdict [MayHaveRun] that is
// unknown.
type HostControl interface {
	// Hosts lists all hosts.
	Hosts(ctx context.Context) ([]PlatformHost, error)
	// Move moves a host to another pool and ends all runs on it.
	Move(ctx context.Context, by DutyHolder, host, pool string) (Reply, error)
	// Maintain starts the maintenance of a host in that wave and ends all runs
	// on the host.
	Maintain(ctx context.Context, by DutyHolder, host string, wave int64) (Reply, error)
}
