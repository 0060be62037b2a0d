package works

import (
	"time"

	rock "bramleyrock"
)

// Step is a number of like tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int `cbor:"1,keyasint"`
	// Need is what a task takes of its worker.
	Need rock.Resources `cbor:"2,keyasint"`
	// Estimate is the caller's rough estimate of a task's duration.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// DependsOn lists the earlier steps all of whose tasks must be done first.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is true if the tasks save their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is true if the tasks work only together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is true if a gang is slow on more than one rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that the worker must have, or "".
	Label string `cbor:"8,keyasint,omitempty"`
	// Rack is the rack that holds the data, or "".
	Rack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no
	// bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative is true if copies of a task may run at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Persistent is true if the tasks run until the job is cancelled.
	Persistent bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run; tasks of an image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// LatencyTarget is the bound of the tail of a lasting task's response times.
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort is true if the tasks use the processor time that others leave.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks of a lasting step may be away at the same
	// time through acts of the system.
	MaxUnavailable int `cbor:"16,keyasint"`
}

// Reservation returns what a task is counted with on its worker.
func (s *Step) Reservation() rock.Resources {
	n := s.Need
	if s.BestEffort {
		n.MilliCores = 0
	}
	return n
}
