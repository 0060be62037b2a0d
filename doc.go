// Package rock holds the vocabulary of bramleyrock and the interfaces behind
// which its parts vary.
//
// bramleyrock places the work of every pool on the pool's hosts, keeps the
// pools' availability budgets while hosts come and go, and keeps each host in
// exactly one pool. Equal entry processes stand between callers and targets;
// what must outlive a process is kept in the platform's table and object
// store.
//
// The packages are arranged in three rings, and imports point inward only:
//
//   - rock, this package: records, requests, verdicts, errors and interfaces.
//   - bramleyrock/core/...: decisions. They do no I/O and start no goroutines;
//     the present time and the source of randomness are arguments.
//   - bramleyrock/io/...: edges. They implement the interfaces of this package
//     over HTTP and WebSocket.
//
// The command bramleyrock/cmd/bramleyrock joins them.
//
// # Usage
//
// A decision takes the time as an argument and reports a refusal as a
// [Failure], which carries a [Verdict]:
//
//	answer, err := target.Run(ctx, host, task)
//	if err != nil && rock.VerdictOf(err) == rock.NotRun {
//		// The task did not start, so it may be tried on another host.
//	}
//
// An error that is not a Failure counts as [MayHaveRun], so that forgetting to
// classify an error can never lead to a second run.
package rock
