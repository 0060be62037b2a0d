package works

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Job is an accepted job, as stored in its row.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue to which the job was submitted.
	Queue string `cbor:"2,keyasint"`
	// Accepted is when the entry read the job, by the entry's wall clock.
	Accepted time.Time `cbor:"3,keyasint"`
	Spec     Spec      `cbor:"4,keyasint"`
	// Settings holds the settings of the queue with which the job was accepted. Earlier
	// programs stored none.
	Settings QueueSettings `cbor:"5,keyasint,omitzero"`
}

// encMode encodes times in microseconds; the default mode drops fractions of a
// second.
var encMode, _ = cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()

// EncodeJob returns the row value of a job.
func EncodeJob(j Job) ([]byte, error) {
	data, err := encMode.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	return data, nil
}

// DecodeJob decodes the row value of a job. It fails if the value is not valid
// CBOR or if the decoded specification fails [Spec.Check].
func DecodeJob(data []byte) (Job, error) {
	var j Job
	if err := cbor.Unmarshal(data, &j); err != nil {
		return Job{}, fmt.Errorf("decode job: %w", err)
	}
	// Times are encoded as floating-point seconds. Rounding to microseconds
	// removes the error of the conversion.
	j.Accepted = j.Accepted.Round(time.Microsecond)
	j.Spec.First = j.Spec.First.Round(time.Microsecond)
	if err := j.Spec.Check(); err != nil {
		return Job{}, fmt.Errorf("decode job %s: %w", j.ID, err)
	}
	return j, nil
}
