// Package feed implements configurations, each of which holds all records at one
// revision with indexes for the request path, and the validation of changes.
//
// A [Config] is immutable. [Config.Apply] returns the next one, which shares all
// unchanged data with it: records are stored in maps of 256 shards, of which a
// change copies one. The cost of a change therefore grows with the size of the
// pool that it affects, not with the size of the fleet. The records of a kind are
// sorted only when they are listed.
//
// A record that the program cannot decode, because a newer program wrote it, is
// kept but has no effect: requests to a pool that cannot be decoded are refused,
// and no host can be added to it. The record's earlier content does not stay in
// force.
//
// # Usage
//
// Build a configuration from a snapshot and apply the changes after it:
//
//	config, err := feed.Build(revision, records)
//	config, err = config.Apply(changes...)
//
// Validate a proposed change:
//
//	after, err := config.Check(edits)
package feed
