package works

import (
	"fmt"
	"time"
)

// The limits of a job.
const (
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 64
	// MaxTasks is the maximum number of tasks of a step.
	MaxTasks = 4096
	// MaxJobTasks is the maximum number of tasks of all occurrences of a job, the progress of
	// each of which is stored. Its owner holds those of the present occurrences in memory.
	MaxJobTasks = 1 << 16
	// MaxSpan is the longest time between the first and the last occurrence.
	MaxSpan = 20 * 365 * 24 * time.Hour
	// MaxPayload is the maximum size of a payload in bytes, a limit of the
	// platform.
	MaxPayload = 4000
)

// Spec is the specification of a job that its caller submits.
type Spec struct {
	// Payload is passed to every task.
	Payload string `cbor:"1,keyasint"`
	// Steps holds the steps in the order of their numbers.
	Steps []Step `cbor:"2,keyasint"`
	// Times is the number of occurrences; 0 means one, which starts at once.
	Times int `cbor:"3,keyasint,omitempty"`
	// First is the scheduled time of the first occurrence if Times is not 0.
	First time.Time `cbor:"4,keyasint,omitzero"`
	// Interval is the time between occurrences.
	Interval time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns the number of occurrences, at least 1.
func (s *Spec) Occurrences() int { return max(1, s.Times) }

// ScheduledAt returns the time at which an occurrence, counted from 0, is
// scheduled to start. The zero time means at once.
func (s *Spec) ScheduledAt(occurrence int) time.Time {
	if s.Times == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(occurrence) * s.Interval)
}

// Persistent reports whether the job has a step that runs until the job is
// cancelled.
func (s *Spec) Persistent() bool {
	for i := range s.Steps {
		if s.Steps[i].Persistent {
			return true
		}
	}
	return false
}

// Check returns an error that names the first invalid value of s and the values
// that are allowed.
func (s *Spec) Check() error {
	switch {
	case len(s.Steps) == 0:
		return fmt.Errorf("job has no steps: want at least 1")
	case len(s.Steps) > MaxSteps:
		return fmt.Errorf("job has %d steps: want at most %d", len(s.Steps), MaxSteps)
	case len(s.Payload) > MaxPayload:
		return fmt.Errorf("payload has %d bytes: want at most %d", len(s.Payload), MaxPayload)
	case s.Times < 0 || s.Times > 1 && s.Interval <= 0:
		return fmt.Errorf("job runs %d times with an interval of %v: want 0 or more times, and a positive interval for more than one", s.Times, s.Interval)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += s.Steps[i].Count
	}
	switch n := s.Occurrences(); {
	case n > MaxJobTasks/tasks:
		return fmt.Errorf("job has %d tasks in each of %d occurrences: want at most %d in all", tasks, n, MaxJobTasks)
	case s.Interval > MaxSpan/time.Duration(n):
		return fmt.Errorf("job runs %d times with an interval of %v: want at most %v from the first to the last", n, s.Interval, MaxSpan)
	}
	return nil
}

// validate checks s as the step with that number of a job. Steps may depend only
// on earlier ones, so that dependencies have no cycles.
func (s *Step) validate(number int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("%d tasks: want 1 to %d", s.Count, MaxTasks)
	}
	if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		return fmt.Errorf("negative resources %+v: want 0 or more of each", s.Need)
	}
	if s.Estimate < 0 {
		return fmt.Errorf("estimate of %v: want 0 or more", s.Estimate)
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= number {
			return fmt.Errorf("depends on step %d: want an earlier step", a)
		}
	}
	return nil
}
