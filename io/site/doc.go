// Package site runs an entry process on the users' platform: it serves calls
// about jobs, follows the configuration and the worker registrations, and owns
// cells.
//
// Any entry can accept a job, cancel it and report its state, using only rows of
// the platform's table. The owner of a cell follows the rows of the cell's jobs,
// sends orders to the cell's workers and stores the progress of the jobs. Entries
// do not talk to one another: the table's change feed delivers a new job to the
// owner about as fast as a direct message would, and a direct message would be a
// second path that can fail.
//
// A home of a cell is a part of the table that holds a copy of the cell's
// ownership and state. Each cell has [tenure.HomeCount] homes, because each part
// of the table can be unavailable by itself. Every write of an owner to a home is
// conditioned on the rows that prove its ownership there. A home holds these rows,
// given by table and name:
//
//	cells  owner     the owner of the cell
//	cells  beat      the last renewal, with the cell's load and the homes in use
//	cells  w/ID      a worker to which the owner may have sent orders
//	orders hosts     the hosts for which the owner may send orders
//	jobs-N ID/s      the progress of the first tasks of a job, see [works.ChunkTasks]
//	jobs-N ID/sN     the progress of a further chunk of its tasks
//	jobs-N ID/d      the outcome of a job, which replaces its progress
//
// The owner writes state to one home, the main home. If the main home does not
// answer, the owner copies all state to another home. If two homes hold the same
// row, the newer one is valid.
//
// Rows that any entry may write are spread over the intake parts of the cell,
// because the platform runs the transactions of one part one after another:
//
//	jobs-N ID/j      an accepted job, or a mark: the job has ended, or it must not be
//	                 stored here (a seal)
//	jobs-N ID/c      the caller's request to cancel the job
//
// Three parts that belong to no cell hold copies of the records of the queues, which list
// the pools that may have jobs of a queue (see package trail):
//
//	cells  q/HASH    the record of a queue
//
// # Usage
//
//	s := site.New(site.Settings{Name: name, Store: store, Workers: workers, ...})
//	err := s.Run(ctx)
package site
