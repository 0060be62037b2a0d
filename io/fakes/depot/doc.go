// Package depot is a stand-in for the platform: its table, its object store
// and its host list, held in memory and lost with the process.
//
// It is meant for tests and for the trial mode. Faults are switches: see
// [Faults]. The same stand-in answers calls in memory, as [rock.Table],
// [rock.ObjectStore] and [rock.HostList], and over HTTP through
// [Depot.Handler].
//
// Calls count against two rates, which refill evenly and allow bursts of one
// second's worth. A call over its rate is refused as [rock.Unavailable] with
// verdict [rock.NotRun] and a wait after which to retry:
//
//   - A read counts one read for each key, at least one.
//   - A scan counts one read for each 100 rows that it returns, at least one.
//   - A commit counts one write for each row that it writes, at least one; its
//     conditions are free.
//   - Putting or removing an object counts one write, getting one counts one
//     read.
//   - Calls on the host list are counted in [Stats] but not limited.
//
// # Usage
//
//	d := depot.New(depot.Settings{Seed: 1})
//	var t rock.Transaction
//	t.Require("head", 0)
//	t.Put("head", []byte(`{"revision":1}`))
//	err := d.Commit(ctx, t)
//
//	d.SetFaults(depot.Faults{Down: true}) // every call is now refused
package depot
