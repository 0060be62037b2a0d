package cell

import (
	"time"

	"bramleyrock/core/works"
)

// The memory of an unfinished job and its parts in bytes, measured on amd64.
const (
	jobBytes  = 1200
	stepBytes = 300
	taskBytes = 240
)

// Footprint returns the memory in bytes that an owner needs for a job when it is submitted. A
// scheduled job needs it for the occurrences that are due or will be soon, and for one if none is.
func Footprint(now time.Time, spec *works.Spec) int64 {
	size := 0
	for i := range spec.Steps {
		size += spec.Steps[i].Count
	}
	open := 0
	for open < spec.Occurrences() && !now.Add(openLead).Before(spec.ScheduledAt(open)) && (open == 0 || (open+1)*size <= maxOpenTasks) {
		open++
	}
	return footprint(spec, open, size)
}

// footprint returns the memory of a job with open occurrences of the given number of tasks.
func footprint(spec *works.Spec, open, size int) int64 {
	open = max(1, open)
	return int64(jobBytes + len(spec.Payload) + (1+open)*len(spec.Steps)*stepBytes + open*size*taskBytes)
}

// heldBytes returns the memory of the unfinished jobs in bytes.
func (c *Cell) heldBytes() int64 {
	var sum int64
	for _, j := range c.jobs {
		sum += footprint(&j.Spec, len(j.occurrences.open), j.occurrences.size)
	}
	return sum
}
