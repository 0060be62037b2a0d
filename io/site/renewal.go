package site

import (
	"fmt"

	"bramleyrock/core/tenure"

	"github.com/fxamacker/cbor/v2"
)

// renewal is the value of a cell's renewal row: the load of the cell, so that
// every entry can tell callers of it.
type renewal struct {
	// HasLoad is false in the renewal with which a cell is taken: its owner does
	// not know the jobs yet.
	HasLoad bool `cbor:"7,keyasint,omitempty"`
	// WaitingJobs is the number of jobs of each queue that have not begun.
	WaitingJobs map[string]int `cbor:"1,keyasint,omitempty"`
	// RemainingWork is the work that is left in core-seconds, Cores the capacity.
	RemainingWork float64 `cbor:"2,keyasint,omitempty"`
	Cores         float64 `cbor:"3,keyasint,omitempty"`
	// RequiredCores is the capacity that the cell needs, Keep that which it may need
	// again soon, in cores.
	RequiredCores float64 `cbor:"4,keyasint,omitempty"`
	RetainedCores float64 `cbor:"6,keyasint,omitempty"`
	// SpareHosts is the number of the pool's hosts that could leave it now.
	SpareHosts int `cbor:"5,keyasint,omitempty"`
	// SinceSurgeMS is how many milliseconds ago the pool's last surge was, or how long
	// the pool is known if Surged is false: no surge is known then.
	SinceSurgeMS int64 `cbor:"8,keyasint,omitempty"`
	SurgeKnown   bool  `cbor:"9,keyasint,omitempty"`
	// Record tells which homes of the cell count.
	Record tenure.Record `cbor:"10,keyasint"`
}

func encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}
