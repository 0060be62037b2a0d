// Package forms holds the bodies of the records that the duties read and
// write: hosts, moves, budgets and waves.
//
// A body is decoded into a struct, changed, and written over the body that it
// came from, so that fields which this program does not know survive.
//
// # Usage
//
//	h, err := forms.DecodeHost(record)
//	h.Open, h.ClosedBy = false, "move/m1"
//	next, err := forms.Encode(record, h)
package forms
