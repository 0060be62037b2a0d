package works

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ChunkTasks is the number of tasks of a job that share a row with their progress. Jobs with
// more tasks have several rows, so that each is within the row size of the platform's table
// and a change is written without the progress of all other tasks.
const ChunkTasks = 128

// Progress is the progress of a chunk of the tasks of a job that has not ended, as stored in
// its row.
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
func (s Stamp) After(o Stamp) bool { return s.Compare(o) > 0 }

// Compare returns a negative number, zero or a positive number if the write with stamp s was
// made before, is the same as, or was made after that with o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Fence, o.Fence), cmp.Compare(s.Seq, o.Seq))
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

// Upper bounds of the encoded sizes of a row and of a task's progress without its lists and
// texts, and of a number, in bytes.
const (
	maxRowOverhead  = 32
	maxTaskOverhead = 48
	maxNumberSize   = 9
)

// MaxSize returns an upper bound of the encoded size of p in bytes.
func (p *Progress) MaxSize() int {
	n := maxRowOverhead
	for i := range p.Tasks {
		t := &p.Tasks[i]
		n += maxTaskOverhead + maxNumberSize*len(t.Failed) + len(t.Checkpoint) + len(t.Worker)
	}
	return n
}

// keptFailures is the number of the last failed runs of a task whose numbers are always
// stored. Older runs are not reported again.
const keptFailures = 8

// EncodeProgress returns the row value of p. If it would have more than limit bytes, what the
// tasks can do without is left out until it has not: first the checkpoints, then the numbers
// of older failed runs, which then count as 0, and last the older failed runs themselves. It
// reports whether anything was left out.
func EncodeProgress(p Progress, limit int) (data []byte, reduced bool, err error) {
	reductions := []func(*TaskProgress){
		func(t *TaskProgress) { t.Checkpoint = "" },
		func(t *TaskProgress) {
			t.Failed = slices.Clone(t.Failed)
			clear(t.Failed[:max(0, len(t.Failed)-keptFailures)])
		},
		func(t *TaskProgress) { t.Failed = t.Failed[max(0, len(t.Failed)-keptFailures):] },
	}
	for i := 0; ; i++ {
		data, err := encMode.Marshal(p)
		if err != nil {
			return nil, false, fmt.Errorf("encode progress: %w", err)
		}
		if len(data) <= limit {
			return data, i > 0, nil
		}
		if i == len(reductions) {
			return nil, false, fmt.Errorf("encode progress of %d tasks: %d bytes are more than the limit of %d", len(p.Tasks), len(data), limit)
		}
		p.Tasks = slices.Clone(p.Tasks)
		for k := range p.Tasks {
			reductions[i](&p.Tasks[k])
		}
	}
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
