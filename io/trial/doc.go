// Package trial runs a small deployment in one process on loopback, under a
// seeded load, and judges what it did by stated outcomes.
//
// The platform and the targets are stand-ins; the entries are the real ones,
// and all talk over TCP. During the load one pool surges to five times its mean
// and falls to a twentieth, a record is changed, a host is moved between
// pools, a wave maintains a pool, and at the end every entry is stopped with
// requests in flight.
//
// # Usage
//
//	report, err := trial.Run(ctx, trial.Settings{Deployment: trial.Zarqa, Length: 20 * time.Second, Seed: 1, Log: log})
//	if err != nil {
//		return err
//	}
//	if len(report.Broken) > 0 {
//		// An outcome did not hold.
//	}
package trial
