package claim

import rock "bramleyrock"

// Outcome is how the run of a key ended.
type Outcome struct {
	answer rock.Answer
	err    error
}

// NewOutcome returns an outcome: an answer, or the error in its place.
func NewOutcome(answer rock.Answer, err error) Outcome { return Outcome{answer: answer, err: err} }

// Result returns the answer or the error.
func (o Outcome) Result() (rock.Answer, error) { return o.answer, o.err }

// size returns the memory that the answer takes, in bytes.
func (o Outcome) size() int { return len(o.answer.Payload()) }
