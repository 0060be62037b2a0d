// Package fleet is a stand-in, in memory, for the configuration in force and
// for the making of changes. Tests of decisions use it in place of a platform.
//
// # Usage
//
//	b := fleet.NewBook(reviewer, records...)
//	c, err := b.Change(ctx, now, proposal)
//	f, _ := b.Fleet()
package fleet
