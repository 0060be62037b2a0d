// Package site runs an entry on the users' platform: it answers callers,
// follows the configuration and the workers, and owns cells.
//
// Any entry stores a job, cancels it and tells its state, with rows of the
// platform's table alone. The owner of a cell follows the rows of its jobs,
// orders the cell's workers and writes how far the jobs have come. Entries do
// not talk to one another: the table's feed tells an owner of a new job in
// about the time that a message of its own would take, and needs no second
// path that can fail.
//
// A cell has three homes, which are parts of the table: each may be down by itself.
// Rows of a home, so that all that an owner writes there is conditioned on its
// ownership:
//
//	cells  owner     who owns the cell
//	cells  beat      the last renewal, with the cell's load and the homes that count
//	cells  w/ID      a worker to which the cell's owner may have given orders
//	orders hosts     the hosts that the owner may order
//	jobs-N ID/s      the progress of a job
//	jobs-N ID/d      its outcome, in place of its progress
//
// State is written to one home. If that does not answer, it is copied to another one,
// and the newer of two rows counts.
//
// The rows that any entry writes are spread over other parts, since the platform
// makes the transactions of a part one after another:
//
//	jobs-N ID/j      an accepted job, or a mark once it has ended
//	jobs-N ID/c      the caller's wish to end it
//
// # Usage
//
//	s := site.New(site.Settings{Name: name, Store: store, Workers: workers, ...})
//	err := s.Run(ctx)
package site
