// Package feed holds configurations: all records at one revision, indexed for
// the request path, and the checks that a change must pass.
//
// A [Config] never changes. [Config.Apply] returns the next one and shares with
// it all that stayed the same: records lie in maps of 256 parts, of which a
// change copies one, so its cost grows with the pool it touches and not with
// the fleet. Records of a kind are sorted only when somebody lists them.
//
// A record that the program cannot read, because a newer program wrote it, is
// kept and has no effect: a pool that cannot be read is not served, and nothing
// can be put into it. No older content stays in force in its place.
//
// # Usage
//
// Follow the feed from a snapshot on:
//
//	config, err := feed.Build(revision, records)
//	config, err = config.Apply(changes...)
//
// Check a proposed change:
//
//	after, err := config.Check(edits)
package feed
