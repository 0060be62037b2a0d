package claim

import rock "bramleyrock"

// Outcome is how the request of a key ended: with an answer or an error.
type Outcome struct {
	answer rock.Answer
	err    error
}

// NewOutcome returns an outcome with the error, or with the answer if err is
// nil.
func NewOutcome(answer rock.Answer, err error) Outcome { return Outcome{answer: answer, err: err} }

// Result returns the answer, or the error if there is none.
func (o Outcome) Result() (rock.Answer, error) { return o.answer, o.err }

// size returns the size of the answer's payload, in bytes.
func (o Outcome) size() int { return len(o.answer.Payload()) }
