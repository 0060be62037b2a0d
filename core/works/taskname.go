package works

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskName names one task of a job.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the name as workers know it.
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

// ParseTaskName returns the parts of a name.
func ParseTaskName(text string) (TaskName, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskName{}, fmt.Errorf("task name %q has %d parts, not 4", text, len(parts))
	}
	var numbers [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return TaskName{}, fmt.Errorf("task name %q: part %q is not a number", text, p)
		}
		numbers[i] = n
	}
	return TaskName{parts[0], numbers[0], numbers[1], numbers[2]}, nil
}
