package works

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Progress is how far a live job has come, as its row keeps it.
type Progress struct {
	// Started is true once a task has started.
	Started bool `cbor:"1,keyasint,omitempty"`
	// Tasks holds what is known of the tasks that have come anywhere, by
	// occurrence, step and index.
	Tasks []TaskProgress `cbor:"2,keyasint,omitempty"`
	// Stamp tells which of two rows of the job is newer.
	Stamp Stamp `cbor:"3,keyasint"`
}

// Stamp is the place of a write among all writes about a cell.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Fence is that of the owner that wrote, and Seq counts its writes.
	Fence uint64
	Seq   uint64
}

// After reports whether a write was made after another one.
func (s Stamp) After(o Stamp) bool {
	if s.Fence != o.Fence {
		return s.Fence > o.Fence
	}
	return s.Seq > o.Seq
}

// TaskProgress is how far one task has come.
type TaskProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	// Failed lists the runs that failed.
	Failed []int64
	// Run is the last run that is known.
	Run int64
	// Checkpoint is the last saved state.
	Checkpoint string
	// Worker is where the run may be, or "".
	Worker string
}

// Outcome is the end of a job, as its row keeps it.
type Outcome struct {
	State State     `cbor:"1,keyasint"`
	At    time.Time `cbor:"2,keyasint"`
}

// EncodeProgress returns the value of a progress row.
func EncodeProgress(p Progress) ([]byte, error) {
	data, err := encMode.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode progress: %w", err)
	}
	return data, nil
}

// DecodeProgress returns the progress in a row's value.
func DecodeProgress(data []byte) (Progress, error) {
	var p Progress
	if err := cbor.Unmarshal(data, &p); err != nil {
		return Progress{}, fmt.Errorf("decode progress: %w", err)
	}
	return p, nil
}

// EncodeOutcome returns the value of an outcome row.
func EncodeOutcome(o Outcome) ([]byte, error) {
	data, err := encMode.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode outcome: %w", err)
	}
	return data, nil
}

// DecodeOutcome returns the outcome in a row's value.
func DecodeOutcome(data []byte) (Outcome, error) {
	var o Outcome
	if err := cbor.Unmarshal(data, &o); err != nil {
		return Outcome{}, fmt.Errorf("decode outcome: %w", err)
	}
	return o, nil
}
