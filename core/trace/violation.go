package trace

import "fmt"

// Violation is a stated outcome that a trace breaks, and the line that broke
// it.
type Violation struct {
	outcome string
	line    int
	detail  string
}

// Outcome returns the name of the outcome.
func (v Violation) Outcome() string { return v.outcome }

// Line returns the line number of the event that broke the outcome, or 0 if
// the event was not read from a trace.
func (v Violation) Line() int { return v.line }

// Detail says what broke the outcome.
func (v Violation) Detail() string { return v.detail }

// String returns the violation as one line of text.
func (v Violation) String() string {
	return fmt.Sprintf("line %d: %s: %s", v.line, v.outcome, v.detail)
}
