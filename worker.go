package rock

import "time"

// WorkerState is the state that a worker reports in its registration.
type WorkerState string

// The states of a worker.
const (
	// WorkerReady means that the worker accepts tasks.
	WorkerReady WorkerState = "ready"
	// WorkerDraining means that the worker is about to stop and should be given
	// no more tasks.
	WorkerDraining WorkerState = "draining"
)

// Resources is an amount of resources of a worker or task.
type Resources struct {
	// MilliCores is processor time in thousandths of a core.
	MilliCores int64
	// MemoryMB is memory in megabytes.
	MemoryMB int64
	// Accelerators is the number of whole accelerators.
	Accelerators int64
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o. The result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Count returns how many times o fits into r, at most limit times.
func (r Resources) Count(o Resources, limit int) int {
	n := int64(limit)
	for _, x := range [...][2]int64{{r.MilliCores, o.MilliCores}, {r.MemoryMB, o.MemoryMB}, {r.Accelerators, o.Accelerators}} {
		if x[1] > 0 {
			n = min(n, max(0, x[0]/x[1]))
		}
	}
	return int(n)
}

// CanFit reports whether o fits into r.
func (r Resources) CanFit(o Resources) bool {
	return r.MilliCores >= o.MilliCores && r.MemoryMB >= o.MemoryMB && r.Accelerators >= o.Accelerators
}

// Worker is the registration of a worker, as read from the platform. A worker is
// one process of the program that runs tasks on a host.
type Worker struct {
	// ID is the worker's id. It may stay the same when the process restarts, so
	// StartedAt distinguishes the processes.
	ID string
	// Pool is the pool whose tasks the worker runs.
	Pool string
	// Address is the IP address and port to which orders are sent.
	Address string
	// Zone is the availability zone.
	Zone string
	// State is the worker's state as reported by itself.
	State WorkerState
	// Capacity is the total of the worker's resources.
	Capacity Resources
	// Labels holds the worker's kind and rack.
	Labels []string
	// StartedAt is the time at which the process started.
	StartedAt time.Time
	// Clock is the time on the worker's monotonic clock at its registration.
	Clock time.Duration
	// ReadAt is the time at which the registration was read.
	ReadAt time.Time
	// WarmUpLeft is how much longer the worker was to run slowly after its start,
	// as of its registration.
	WarmUpLeft time.Duration
	// Remaining is the minimum time for which a draining worker keeps running, as
	// of its registration.
	Remaining time.Duration
}
