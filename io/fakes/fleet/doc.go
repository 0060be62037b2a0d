// Package fleet is a stand-in, in memory, for the making of changes and for the
// configuration in force. Tests of decisions use it in place of a platform.
//
// # Usage
//
//	b := fleet.NewBook(reviewer, records...)
//	c, err := b.Change(ctx, now, proposal)
//	f, _ := b.Fleet()
package fleet
