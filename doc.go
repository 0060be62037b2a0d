// Package rock defines the types and interfaces that all packages of
// bramleyrock share.
//
// bramleyrock manages fleet capacity and maintenance. It places the requests
// and jobs of every pool on the pool's hosts, respects the pools' availability
// budgets during maintenance and moves, and keeps each host in exactly
// one pool. Equal processes, called entries, accept the calls of callers and run
// tasks on targets, the programs on the hosts that do the work. State that must
// outlive a process is stored in the table and the object store of the
// platform, the service that also lists and reboots the hosts.
//
// The packages form three layers. A package imports only packages of its own
// layer and of those listed above it:
//
//   - rock, this package: records, requests, verdicts, errors and interfaces.
//   - bramleyrock/core/...: decision logic. It does no I/O and starts no
//     goroutines; the present time and the source of randomness are arguments.
//   - bramleyrock/io/...: I/O. It implements the interfaces of this package
//     over HTTP and WebSocket.
//
// The command bramleyrock/cmd/bramleyrock connects them.
//
// # Usage
//
// Functions that refuse an operation, or fail, return a [Failure], which carries
// a [Verdict]:
//
//	answer, err := target.Run(ctx, host, task)
//	if err != nil && rock.VerdictOf(err) == rock.NotRun {
//		// The task did not start, so it may be tried on another host.
//	}
//
// An error that is not a Failure counts as [MayHaveRun], so that an unclassified
// error never causes a request that is not idempotent to run twice.
package rock
