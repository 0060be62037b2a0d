package rock

import "time"

// WorkerState is the state that a worker registers.
type WorkerState string

// The states of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
)

// Resources is an amount of a worker's resources.
type Resources struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int64
	// MemoryMB is memory in megabytes.
	MemoryMB int64
	// Accelerators is a number of whole accelerators.
	Accelerators int64
}

// Add returns r and o together.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// CanFit reports whether o fits into r.
func (r Resources) CanFit(o Resources) bool {
	return r.MilliCores >= o.MilliCores && r.MemoryMB >= o.MemoryMB && r.Accelerators >= o.Accelerators
}

// Worker is one life of the program that runs tasks on a host, as it
// registered itself. It is a record as read from the platform.
type Worker struct {
	// ID names this life; a worker that restarts may keep its id.
	ID string
	// Pool is the pool whose tasks the worker runs.
	Pool string
	// Address is the IP address and port for orders.
	Address string
	// Zone is the availability zone.
	Zone string
	// State is what the worker says of itself.
	State WorkerState
	// Resources is the worker's whole capacity.
	Capacity Resources
	// Labels holds the worker's kind and rack.
	Labels []string
	// StartedAt is the start of this life.
	StartedAt time.Time
	// Clock is the worker's own steady clock when it registered.
	Clock time.Duration
	// ReadAt is when the registration was read.
	ReadAt time.Time
	// WarmUpLeft is how much longer the worker was slow after its start.
	WarmUpLeft time.Duration
	// Remaining is the least time that a draining worker stays.
	Remaining time.Duration
}
