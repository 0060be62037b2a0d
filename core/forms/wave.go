package forms

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Wave is the body of a wave record. The progress of each host is in its own
// record, see [Maintenance].
type Wave struct {
	Pools       []string         `json:"pools"`
	Action      record.Action    `json:"action"`
	State       record.WaveState `json:"state"`
	MaxParallel int              `json:"max_parallel"`
	// Since is when the state was reached.
	Since time.Time `json:"since,omitzero"`
	// WaitsFor says why the wave does not go on.
	WaitsFor string `json:"waits_for,omitempty"`
	// CountedOut names silent entries that an operator vouches for, each as
	// "<name>/<incarnation>".
	CountedOut []string `json:"counted_out,omitempty"`
}

// DecodeWave returns the body of a wave record.
func DecodeWave(r rock.Record) (Wave, error) {
	var w Wave
	return w, decode(r, &w)
}
