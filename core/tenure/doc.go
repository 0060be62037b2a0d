// Package tenure decides when an entry takes over a cell.
//
// The owner of a cell renews a row of the platform's table. A challenger takes
// the cell when it has not seen the row change for a while although the
// platform answered it all that time, and on condition that the row is still
// the one that it saw. An owner acts only for a shorter while after it sent
// its last successful renewal. Clocks are compared with themselves only, and
// must count the time for which a process is suspended.
//
// # Usage
//
//	var t tenure.Tenure
//	t.Saw(now, owner, ownerVersion, beatVersion)
//	if t.Next(now, me, answeredSince, delay) == tenure.Take {
//		// Take the cell on condition of both versions.
//	}
package tenure
