package works

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Progress is the progress of a job that has not ended, as stored in its row.
type Progress struct {
	// Started is true once a task has started.
	Started bool `cbor:"1,keyasint,omitempty"`
	// Tasks holds the tasks that have any progress, in order of occurrence,
	// step and index.
	Tasks []TaskProgress `cbor:"2,keyasint,omitempty"`
	// Stamp orders the copies of the job's row by age.
	Stamp Stamp `cbor:"3,keyasint"`
}

// Stamp orders all writes to a cell's rows, first by Fence, then by Seq.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Fence is the fencing token of the owner that made the write.
	Fence uint64
	// Seq is the number of the write among that owner's writes.
	Seq uint64
}

// After reports whether the write with stamp s was made after that with o.
func (s Stamp) After(o Stamp) bool {
	if s.Fence != o.Fence {
		return s.Fence > o.Fence
	}
	return s.Seq > o.Seq
}

// TaskProgress is the progress of one task. It is encoded as an array: the
// order and number of the fields are part of the row format.
type TaskProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	// Failed lists the numbers of the runs that failed.
	Failed []int64
	// Run is the number of the latest known run.
	Run int64
	// Checkpoint is the last saved state, or "".
	Checkpoint string
	// Worker is the id of the worker that may have the run, or "".
	Worker string
}

// Outcome is the final state of a job and the time at which the job reached it,
// as stored in its row.
type Outcome struct {
	State State     `cbor:"1,keyasint"`
	At    time.Time `cbor:"2,keyasint"`
}

// EncodeProgress returns the row value of p.
func EncodeProgress(p Progress) ([]byte, error) {
	data, err := encMode.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode progress: %w", err)
	}
	return data, nil
}

// DecodeProgress decodes the row value of a job's progress.
func DecodeProgress(data []byte) (Progress, error) {
	var p Progress
	if err := cbor.Unmarshal(data, &p); err != nil {
		return Progress{}, fmt.Errorf("decode progress: %w", err)
	}
	return p, nil
}

// EncodeOutcome returns the row value of o.
func EncodeOutcome(o Outcome) ([]byte, error) {
	data, err := encMode.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode outcome: %w", err)
	}
	return data, nil
}

// DecodeOutcome decodes the row value of a job's outcome.
func DecodeOutcome(data []byte) (Outcome, error) {
	var o Outcome
	if err := cbor.Unmarshal(data, &o); err != nil {
		return Outcome{}, fmt.Errorf("decode outcome: %w", err)
	}
	return o, nil
}
