package rock

import "time"

// Reviewers is a [Reviewer] that calls several reviewers in order. The zero value
// allows every change.
type Reviewers []Reviewer

// Review implements [Reviewer]: it returns the first refusal.
func (r Reviewers) Review(now time.Time, before Fleet, edits []Edit) error {
	for _, reviewer := range r {
		if err := reviewer.Review(now, before, edits); err != nil {
			return err
		}
	}
	return nil
}
