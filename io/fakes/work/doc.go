// Package work is a stand-in for targets: workers that run tasks under leases
// in a number of slots, and keep a ledger of all that they started.
//
// It is meant for tests and for the trial mode. A [Worker] is one target; a
// [Fleet] is many of them behind [rock.Target], in memory. Faults are
// switches: see [Faults]. The ledger lets a test judge from the targets' side
// whether a task ran at most once and whether a host ever held tasks of two
// pools.
//
// The payload of a task may direct the work: see [Payload]. The answer echoes
// it.
//
// Refusals before the start carry verdict [rock.NotRun]. Work that failed has
// reason [rock.WorkFailed] and verdict [rock.MayHaveRun], since there is no
// whole answer.
//
// # Usage
//
//	f := work.NewFleet()
//	f.Add(work.New(work.Settings{Name: "h1", Slots: 8}))
//	answer, err := f.Run(ctx, host, task)
//
//	f.Worker("h1").SetFaults(work.Faults{FailFast: true})
//	runs := f.Worker("h1").Runs()
package work
