// Package maint decides which hosts of a maintenance wave are taken down, and
// when.
//
// The owners of cells share one row for each wave. A host is claimed in it
// before its worker is emptied, and leaves it when it is up again, so that the
// hosts that are down for a wave never exceed its limit, whoever owns their
// cells. A pool gives up hosts while it is calm; when the time of the wave
// runs short, it gives them up in any case.
//
// # Usage
//
//	state, err := maint.Decode(row.Value())
//	for _, name := range maint.Pick(now, wave, state, hosts, calm) {
//		state.Claim(name, cell)
//	}
//	// Store the state on condition that the row is unchanged.
package maint
