package move

import (
	"fmt"
	"time"

	rock "bramleyrock"
)

// Step is the next step of a move: the records to write, or what the move waits
// for.
type Step struct {
	move     string
	id       string
	why      string
	records  []rock.Record
	waitsFor string
	since    time.Time
}

// Move returns the name of the move.
func (s Step) Move() string { return s.move }

// Pending reports whether there are records to write.
func (s Step) Pending() bool { return len(s.records) > 0 }

// Records returns the records to write.
func (s Step) Records() []rock.Record { return s.records }

// WaitsFor returns what the move waits for, or "" if it can go on or has ended.
func (s Step) WaitsFor() string { return s.waitsFor }

// Since returns the time at which the move reached its current state.
func (s Step) Since() time.Time { return s.since }

// Proposal returns the change that writes the step's records. Guard makes it
// conditional on the lease of the proposer.
func (s Step) Proposal(who string, guard rock.Transaction) rock.Proposal {
	return rock.Proposal{ID: s.id, Who: who, Why: s.why, Records: s.records, Guard: guard}
}

// waitingStep returns a step that writes nothing and says what the move waits for.
func waitingStep(move string, since time.Time, format string, args ...any) Step {
	return Step{move: move, since: since, waitsFor: fmt.Sprintf(format, args...)}
}
