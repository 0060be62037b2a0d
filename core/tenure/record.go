package tenure

import "bramleyrock/core/works"

// HomeCount is the number of parts of the platform's table in which a cell's rows may be.
// With a third of the parts down, all three of a cell are in one case out of 27.
const HomeCount = 3

// Record tells which of a cell's homes count. It is part of every renewal, and
// the newest one holds.
type Record struct {
	// Fence is that of the owner who wrote the record, and Seq its place among
	// that owner's writes.
	Fence uint64 `cbor:"1,keyasint,omitempty"`
	Seq   uint64 `cbor:"2,keyasint,omitempty"`
	// Homes are the homes any of which may prove that the owner acts, and which
	// hold the cell's state together. Nobody owns the cell without all of them.
	Homes []int `cbor:"3,keyasint,omitempty"`
	// Main is the home in which the owner writes.
	Main int `cbor:"4,keyasint,omitempty"`
	// CopiedSince is the first write by which all live state was written to the main home
	// again. Rows of live jobs there that are older are left from an earlier time.
	CopiedSince works.Stamp `cbor:"5,keyasint"`
}

// NewerThan reports whether the record was written after another one.
func (r Record) NewerThan(o Record) bool {
	if r.Fence != o.Fence {
		return r.Fence > o.Fence
	}
	return r.Seq > o.Seq
}

// orAllHomes returns the record, or that of a cell without any: all homes count.
func (r Record) orAllHomes() Record {
	if len(r.Homes) == 0 {
		r.Homes = make([]int, HomeCount)
		for i := range r.Homes {
			r.Homes[i] = i
		}
	}
	return r
}
