package works

import (
	"time"

	rock "bramleyrock"
)

// Step is a number of identical tasks of a job.
type Step struct {
	// Count is the number of tasks, from 1 to [MaxTasks].
	Count int `cbor:"1,keyasint"`
	// Need is the resources that each task needs on its worker.
	Need rock.Resources `cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// DependsOn lists the numbers of the earlier steps whose tasks must all be
	// done before a task of this step starts.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is true if the tasks save checkpoints.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is true if the tasks make progress only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is true if a gang runs slowly when it spans several racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have, or "" for any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// Rack is the rack that holds the data of the tasks, or "".
	Rack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative is true if several runs of one task may run at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Persistent is true if the tasks run until the job is cancelled.
	Persistent bool `cbor:"12,keyasint,omitempty"`
	// Image names the program of the tasks. Tasks with the same image are
	// expected to behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// LatencyTarget is the upper bound for the tail of a persistent task's
	// response times; 0 means none.
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort is true if the tasks use only the processor time that the
	// other tasks of the worker leave.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks of a persistent step the system itself
	// may stop at the same time, for example to move them.
	MaxUnavailable int `cbor:"16,keyasint"`
}

// Reservation returns the resources that a task reserves on its worker. A
// best-effort task reserves no processor time.
func (s *Step) Reservation() rock.Resources {
	n := s.Need
	if s.BestEffort {
		n.MilliCores = 0
	}
	return n
}
