package tenure

import "bramleyrock/core/works"

// HomeCount is the number of homes of a cell. If a third of the parts of the platform's
// table is down, the probability that all three homes of a cell are down is 1/27.
const HomeCount = 3

// Record lists the active homes of a cell. Every renewal contains a record, and the
// newest record is in force.
type Record struct {
	// Fence is the epoch of the owner that wrote the record. Seq is the sequence
	// number of the write among that owner's writes.
	Fence uint64 `cbor:"1,keyasint,omitempty"`
	Seq   uint64 `cbor:"2,keyasint,omitempty"`
	// Homes holds the active homes. A renewal in any of them may prove ownership,
	// they hold the cell's state together, and a new owner must take over all.
	Homes []int `cbor:"3,keyasint,omitempty"`
	// Main is the home to which the owner writes state.
	Main int `cbor:"4,keyasint,omitempty"`
	// CopiedSince is the first write of the last copy of all state to the main home.
	// Older rows there of jobs without an outcome are obsolete.
	CopiedSince works.Stamp `cbor:"5,keyasint"`
}

// NewerThan reports whether the record was written after o.
func (r Record) NewerThan(o Record) bool {
	if r.Fence != o.Fence {
		return r.Fence > o.Fence
	}
	return r.Seq > o.Seq
}

// orAllHomes returns the record, with all homes active if it lists none.
func (r Record) orAllHomes() Record {
	if len(r.Homes) == 0 {
		r.Homes = make([]int, HomeCount)
		for i := range r.Homes {
			r.Homes[i] = i
		}
	}
	return r
}
