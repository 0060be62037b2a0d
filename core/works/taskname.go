package works

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskName is the name of one task of a job. Occurrence, Step and Index count
// from 0.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name in the form that is sent to workers,
// "JOB.OCCURRENCE.STEP.INDEX".
func (n TaskName) String() string {
	var b strings.Builder
	b.Grow(len(n.Job) + 12)
	b.WriteString(n.Job)
	for _, v := range [...]int{n.Occurrence, n.Step, n.Index} {
		b.WriteByte('.')
		b.WriteString(strconv.Itoa(v))
	}
	return b.String()
}

// ParseTaskName parses the result of [TaskName.String].
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, fmt.Errorf("task name %q has %d parts: want JOB.OCCURRENCE.STEP.INDEX", text, len(parts))
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskName{}, fmt.Errorf("task name %q: part %q: want a whole number of 0 or more", text, p)
		}
		numbers[i] = n
	}
	return TaskName{parts[0], numbers[0], numbers[1], numbers[2]}, nil
}
