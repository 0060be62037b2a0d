package works

import (
	"fmt"
	"time"
)

// The limits of a job, so that its rows fit the platform's table.
const (
	// MaxSteps is the greatest number of steps.
	MaxSteps = 64
	// MaxTasks is the greatest number of tasks of a step.
	MaxTasks = 4096
	// MaxPayload is the greatest size of a payload in bytes, as the platform
	// states it.
	MaxPayload = 4000
)

// Spec is a job as its caller describes it.
type Spec struct {
	// Payload is handed to every task.
	Payload string `cbor:"1,keyasint"`
	// Steps holds the steps in the order of their numbers.
	Steps []Step `cbor:"2,keyasint"`
	// Times is how often the steps run; 0 means once, at once.
	Times int `cbor:"3,keyasint,omitempty"`
	// First is when the first occurrence is due.
	First time.Time `cbor:"4,keyasint,omitzero"`
	// Interval is the time between occurrences.
	Interval time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Times) }

// ScheduledAt returns when an occurrence is due; the zero time means at once.
func (s *Spec) ScheduledAt(occurrence int) time.Time {
	if s.Times == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(occurrence) * s.Interval)
}

// Persistent reports whether the job runs until it is cancelled.
func (s *Spec) Persistent() bool {
	for i := range s.Steps {
		if s.Steps[i].Persistent {
			return true
		}
	}
	return false
}

// Check returns an error that names the first fault of the description.
func (s *Spec) Check() error {
	switch {
	case len(s.Steps) == 0:
		return fmt.Errorf("job has no steps")
	case len(s.Steps) > MaxSteps:
		return fmt.Errorf("job has %d steps, more than %d", len(s.Steps), MaxSteps)
	case len(s.Payload) > MaxPayload:
		return fmt.Errorf("payload has %d bytes, more than %d", len(s.Payload), MaxPayload)
	case s.Times < 0 || s.Times > 1 && s.Interval <= 0:
		return fmt.Errorf("job runs %d times with an interval of %v", s.Times, s.Interval)
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("%d tasks: want 1 to %d", s.Count, MaxTasks)
	}
	if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		return fmt.Errorf("negative resources %+v", s.Need)
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= number {
			return fmt.Errorf("depends on step %d, which is not an earlier one", a)
		}
	}
	return nil
}
