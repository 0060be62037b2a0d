package site

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// beat is the value of a cell's renewal row: the load of the cell, so that
// every entry can tell callers of it.
type beat struct {
	// Told is false in the renewal with which a cell is taken: its owner does
	// not know the jobs yet.
	Told bool `cbor:"7,keyasint,omitempty"`
	// Waiting is the number of jobs of each queue that have not begun.
	Waiting map[string]int `cbor:"1,keyasint,omitempty"`
	// Work is the work that is left in core-seconds, Cores the capacity.
	Work  float64 `cbor:"2,keyasint,omitempty"`
	Cores float64 `cbor:"3,keyasint,omitempty"`
	// Want is the capacity that the cell needs, Keep that which it may need
	// again soon, in cores.
	Want float64 `cbor:"4,keyasint,omitempty"`
	Keep float64 `cbor:"6,keyasint,omitempty"`
	// Rate is the mean rate at which work has arrived lately, in cores.
	Rate float64 `cbor:"8,keyasint,omitempty"`
	// Spare is the number of the pool's hosts that could leave it now.
	Spare int `cbor:"5,keyasint,omitempty"`
}

func encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}
