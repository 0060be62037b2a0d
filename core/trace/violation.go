package trace

import "fmt"

// Violation says that a trace violates an outcome, and which event caused it.
type Violation struct {
	outcome string
	line    int
	detail  string
}

// Outcome returns the name of the violated outcome.
func (v Violation) Outcome() string { return v.outcome }

// Line returns the line number of the event that caused the violation, or 0 if the
// event has none; see [Event.Line].
func (v Violation) Line() int { return v.line }

// Detail describes the violation.
func (v Violation) Detail() string { return v.detail }

// String returns the violation as one line of text.
func (v Violation) String() string {
	return fmt.Sprintf("line %d: %s: %s", v.line, v.outcome, v.detail)
}
