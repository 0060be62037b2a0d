package trace

import (
	"fmt"
	"strings"
)

// requiredFields lists the JSON names of the fields that an event of each kind must
// have, besides its time.
var requiredFields = map[Kind][]string{
	Arrived:        {"entry", "request_id", "pool"},
	Admitted:       {"entry", "request_id"},
	Forwarded:      {"entry", "peer", "request_id"},
	Sent:           {"entry", "request_id", "task_id", "host"},
	Started:        {"host", "task_id", "pool"},
	Checkpointed:   {"host", "task_id"},
	Ended:          {"host", "task_id", "state"},
	Answered:       {"request_id", "digest"},
	Refused:        {"request_id", "verdict", "reason"},
	Cancelled:      {"request_id"},
	Cut:            {"request_id"},
	EntryStarted:   {"entry"},
	EntryLeaving:   {"entry"},
	EntryStopped:   {"entry"},
	EntryLost:      {"entry"},
	EntryCut:       {"entry"},
	EntryHealed:    {"entry"},
	ChangeAccepted: {"revision"},
	ChangeInForce:  {"entry", "revision"},
	HostAdded:      {"host", "pool"},
	HostClosed:     {"host"},
	HostOpened:     {"host"},
	HostLost:       {"host"},
	HostBack:       {"host"},
	HostRebooted:   {"host"},
	BudgetSet:      {"pool"},
	MoveState:      {"move", "host", "state"},
	WaveState:      {"wave", "state"},
	LeaseTaken:     {"duty", "epoch", "holder"},
	LeaseReleased:  {"duty", "epoch", "holder"},
	DutyActed:      {"duty", "epoch", "holder"},
	SurgeStarted:   {"pool"},
	SurgeEnded:     {"pool"},
	Baseline:       {"pool"},
	Fault:          {"note"},
}

// presentFields tells, for every field in [requiredFields], whether it is set.
func (e Event) presentFields() map[string]bool {
	return map[string]bool{
		"entry":      e.Entry != "",
		"peer":       e.Peer != "",
		"request_id": e.RequestID != "",
		"task_id":    e.TaskID != "",
		"pool":       e.Pool != "",
		"host":       e.Host != "",
		"state":      e.State != "",
		"digest":     e.Digest != "",
		"verdict":    e.Verdict != "",
		"reason":     e.Reason != "",
		"revision":   e.Revision != 0,
		"duty":       e.Duty != "",
		"epoch":      e.Epoch != 0,
		"holder":     e.Holder != "",
		"move":       e.Move != "",
		"wave":       e.Wave != "",
		"note":       e.Note != "",
	}
}

// Check returns an error if the event's kind is unknown, its time or a field that
// its kind requires is missing, or a value is not allowed.
func (e Event) Check() error {
	fields, known := requiredFields[e.Kind]
	if !known {
		return fmt.Errorf("event %q is not known", e.Kind)
	}
	if e.At.IsZero() {
		return fmt.Errorf("event %q: at is missing: want the time of the event", e.Kind)
	}
	present := e.presentFields()
	var missing []string
	for _, f := range fields {
		if !present[f] {
			missing = append(missing, f)
		}
	}
	if len(missing) > 0 {
		return fmt.Errorf("event %q: %s missing", e.Kind, strings.Join(missing, ", "))
	}
	return e.checkValues()
}

// checkValues returns an error if a value is not allowed.
func (e Event) checkValues() error {
	if e.Verdict != "" && !e.Verdict.Valid() {
		return fmt.Errorf("event %q: verdict %q: want not_run, may_have_run or ran", e.Kind, e.Verdict)
	}
	if e.Class != "" && !e.Class.Valid() {
		return fmt.Errorf("event %q: class %q: want urgent or normal", e.Kind, e.Class)
	}
	if e.MinAvailable < 0 || e.DelayMS < 0 || e.Rate < 0 {
		return fmt.Errorf("event %q: min_available %d, delay_ms %v, rate %v: want 0 or more for each", e.Kind, e.MinAvailable, e.DelayMS, e.Rate)
	}
	return nil
}
