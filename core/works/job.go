package works

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Job is an accepted job, as its row keeps it.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue to which the job was handed in.
	Queue string `cbor:"2,keyasint"`
	// Accepted is when the entry read the job, by its time of day.
	Accepted time.Time `cbor:"3,keyasint"`
	Spec     Spec      `cbor:"4,keyasint"`
}

// encMode encodes times with a sub-second part, which the default drops.
var encMode, _ = cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()

// EncodeJob returns the value of a job's row.
func EncodeJob(j Job) ([]byte, error) {
	data, err := encMode.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("encode job %s: %w", j.ID, err)
	}
	return data, nil
}

// DecodeJob returns the job in a row's value.
func DecodeJob(data []byte) (Job, error) {
	var j Job
	if err := cbor.Unmarshal(data, &j); err != nil {
		return Job{}, fmt.Errorf("decode job: %w", err)
	}
	// Times are encoded as fractions of a second, whose last digits are lost.
	j.Accepted = j.Accepted.Round(time.Microsecond)
	j.Spec.First = j.Spec.First.Round(time.Microsecond)
	if err := j.Spec.Check(); err != nil {
		return Job{}, fmt.Errorf("decode job %s: %w", j.ID, err)
	}
	return j, nil
}
