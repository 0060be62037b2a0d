package trace

import "fmt"

// report collects the violations of one outcome.
type report struct {
	outcome    string
	violations []Violation
}

// add adds a violation that the event caused. The format and args describe it.
func (r *report) add(e Event, format string, args ...any) {
	r.violations = append(r.violations, Violation{r.outcome, e.line, fmt.Sprintf(format, args...)})
}
