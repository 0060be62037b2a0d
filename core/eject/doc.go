// Package eject implements outlier detection for the hosts of a pool, which
// ejects hosts whose work fails, and a quarantine for work that fails on every
// host.
//
// A host is ejected once its recent outcomes are far likelier for a broken host
// than for one that fails as often as the other hosts of its pool, as shown by a
// cumulative sum of log-likelihood ratios. A fault that affects all hosts, or work
// that fails wherever it runs, therefore ejects no host, and only a limited share
// of a pool is ejected at any time. When the ejection ends, the host returns with
// one task at a time and gets more with each success; if it fails again, it is
// ejected for longer.
//
// Work that failed on several different hosts and succeeded on none since is
// quarantined for a while. Only its first failure counts against a host.
//
// # Usage
//
//	d := eject.NewDetector(eject.Settings{})
//	h := d.Track("h1")
//	if inFlight < h.TaskLimit(now, slots) {
//		// The host may be given one more task.
//	}
//	if d.Record(now, h, failed) {
//		// The host is ejected until h.EjectedUntil().
//	}
//
//	q := eject.NewQuarantine(eject.Settings{})
//	if err := q.Check(now, request, hosts); err != nil {
//		return err // refused, not_run
//	}
//	countsAgainstHost := q.Record(now, request, "h1", failed)
package eject
