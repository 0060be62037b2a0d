package trace

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Outcome is an invariant of the system that a trace must satisfy.
type Outcome struct {
	name  string
	check func(h *history, r *report)
}

// Name returns the outcome's name.
func (o Outcome) Name() string { return o.name }

// Outcomes returns all outcomes. The package documentation describes them.
func Outcomes() []Outcome {
	return []Outcome{
		{"whole_answers", wholeAnswers},
		{"not_run_true", notRunTrue},
		{"at_most_once", atMostOnce},
		{"leaving_left_alone", leavingLeftAlone},
		{"nothing_cut", nothingCut},
		{"one_pool_per_host", onePoolPerHost},
		{"budget_holds", budgetHolds},
		{"in_force_within", inForceWithin},
		{"never_older", neverOlder},
		{"lease_one_holder", leaseOneHolder},
		{"urgent_within", urgentWithin},
		{"isolation", isolation},
	}
}

// Select returns the named outcomes, or all of them if none is named. A name that
// is not known is an error.
func Select(names ...string) ([]Outcome, error) {
	all := Outcomes()
	if len(names) == 0 {
		return all, nil
	}
	var selected []Outcome
	for _, n := range names {
		i := slices.IndexFunc(all, func(o Outcome) bool { return o.name == n })
		if i < 0 {
			return nil, fmt.Errorf("outcome %q is not known: want one of %s", n, strings.Join(outcomeNames(all), ", "))
		}
		selected = append(selected, all[i])
	}
	return selected, nil
}

// outcomeNames returns the names of the outcomes.
func outcomeNames(outcomes []Outcome) []string {
	names := make([]string, len(outcomes))
	for i, o := range outcomes {
		names[i] = o.name
	}
	return names
}

// Check checks the events against the outcomes and returns all violations in order
// of line. The events need not be in order of time.
func Check(events []Event, outcomes []Outcome) []Violation {
	h := newHistory(sorted(events))
	var found []Violation
	for _, o := range outcomes {
		r := &report{outcome: o.name}
		o.check(h, r)
		found = append(found, r.violations...)
	}
	slices.SortStableFunc(found, func(a, b Violation) int { return cmp.Compare(a.line, b.line) })
	return found
}
