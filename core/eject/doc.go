// Package eject decides which hosts of a pool are left alone because their
// work fails, and which work is left alone because it fails on every host.
//
// A host is ejected once its recent outcomes are far likelier for a broken host
// than for one that fails as often as the other hosts of its pool; this is a
// cumulative sum of log-likelihood ratios. A fault that hits all hosts, or work that fails
// wherever it runs, therefore ejects nobody, and at most a share of a pool is
// ejected at any time. An ejected host returns after a while with one task at
// a time and gets more with every success; if it fails again, it is ejected
// for longer.
//
// Work that failed on several different hosts, and on no host succeeded, is
// quarantined for a while. Only its first failure counts against a host.
//
// # Usage
//
//	w := eject.NewWatch(eject.Settings{})
//	h := w.Join("h1")
//	if inFlight < h.Limit(now, slots) {
//		// The host may be given one more task.
//	}
//	if w.Note(now, h, failed) {
//		// The host is ejected until h.Until().
//	}
//
//	q := eject.NewQuarantine(eject.Settings{})
//	if err := q.Check(now, request, hosts); err != nil {
//		return err // refused, not_run
//	}
//	blame := q.Note(now, request, "h1", failed)
package eject
