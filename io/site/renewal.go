package site

import (
	"fmt"

	"bramleyrock/core/tenure"

	"github.com/fxamacker/cbor/v2"
)

// renewal is the value of a cell's renewal row. It contains the load of the cell, so
// that every entry can answer callers' questions about it.
type renewal struct {
	// HasLoad is false in the first renewal of an owner, which has not read the jobs
	// yet. The fields about the load are not set then.
	HasLoad bool `cbor:"7,keyasint,omitempty"`
	// WaitingJobs is the number of jobs of each queue that have not started.
	WaitingJobs map[string]int `cbor:"1,keyasint,omitempty"`
	// WaitingOmitted is true if WaitingJobs is left out, because the row would be too large.
	WaitingOmitted bool `cbor:"12,keyasint,omitempty"`
	// RemainingWork is the expected remaining work in core-seconds, and Cores the
	// capacity of the usable workers.
	RemainingWork float64 `cbor:"2,keyasint,omitempty"`
	Cores         float64 `cbor:"3,keyasint,omitempty"`
	// RequiredCores is the capacity that the cell needs, and RetainedCores the
	// capacity that it may need again soon.
	RequiredCores float64 `cbor:"4,keyasint,omitempty"`
	RetainedCores float64 `cbor:"6,keyasint,omitempty"`
	// MinHosts is the number of hosts that other pools must not take away.
	MinHosts int `cbor:"11,keyasint,omitempty"`
	// SpareHosts is the number of hosts that could leave the pool now.
	SpareHosts int `cbor:"5,keyasint,omitempty"`
	// HeldBytes is the memory of the cell's unfinished jobs in bytes.
	HeldBytes int64 `cbor:"13,keyasint,omitempty"`
	// SinceSurgeMS is the time since the pool's last surge in milliseconds. If
	// SurgeKnown is false, no surge is known and it is the time for which the pool
	// has been observed.
	SinceSurgeMS int64 `cbor:"8,keyasint,omitempty"`
	SurgeKnown   bool  `cbor:"9,keyasint,omitempty"`
	// Record says which homes of the cell are in use.
	Record tenure.Record `cbor:"10,keyasint"`
}

// encodeRenewal returns the value of a renewal row of at most limit bytes. There may be more
// queues than a row can name.
func encodeRenewal(r renewal, limit int) ([]byte, error) {
	data, err := encode(r)
	if err == nil && len(data) > limit {
		r.WaitingJobs, r.WaitingOmitted = nil, true
		return encode(r)
	}
	return data, err
}

// encode returns v as CBOR.
func encode(v any) ([]byte, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return data, nil
}
