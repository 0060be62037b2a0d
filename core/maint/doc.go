// Package maint selects the hosts of a maintenance wave that are taken down next.
//
// The owners of all cells share one table row for each wave, which holds its
// [State]. An owner claims a host in it before it drains the host's worker, and
// removes the claim when the host is up again. The hosts that are down for a wave
// therefore never exceed its limit, whichever cells they belong to. Hosts of a
// pool are claimed while the pool has spare capacity. Once the wave is [Urgent],
// they are claimed in any case.
//
// # Usage
//
//	state, err := maint.Decode(row.Value())
//	for _, name := range maint.SelectHosts(now.Sub(requestedAt), wave, state, hosts, pool) {
//		state.Claims[name] = maint.Claim{Worker: workers[name]}
//	}
//	value, err := state.Encode()
//	// Store the value on condition that the row is unchanged.
package maint
