package resize

import "time"

const (
	// surgeShare is the share of an even distribution of all cores from which
	// the arrival rate of a pool counts as a surge. A surging queue needs four to
	// five times its mean demand, the others a twentieth of theirs.
	surgeShare = 0.3
	// surgeFreeTime is how long no pool may have surged for the site to count as
	// free of surges. While a site surges, its surges last up to 10 s each and
	// follow each other without a pause.
	surgeFreeTime = 15 * time.Second
)

// Activity records when a pool last surged. The zero value is ready to use.
type Activity struct {
	// since is the time of the last surge or, until a surge is observed, the
	// time of the first observation.
	since  time.Time
	surged bool
}

// Observe records the recent arrival rate of the pool, in cores. Even is the
// number of cores of each pool if all cores were distributed evenly.
func (a *Activity) Observe(now time.Time, rate, even float64) {
	switch {
	case even > 0 && rate >= surgeShare*even:
		a.since, a.surged = now, true
	case a.since.IsZero():
		a.since = now
	}
}

// Restore sets the state to what a former owner of the pool published: the
// results of its [Activity.SinceSurge].
func (a *Activity) Restore(now time.Time, elapsed time.Duration, surged bool) {
	a.since, a.surged = now.Add(-elapsed), surged
}

// SinceSurge returns the time since the pool's last surge. If surged is false, no
// surge has been observed and elapsed is the time since the first observation.
func (a *Activity) SinceSurge(now time.Time) (elapsed time.Duration, surged bool) {
	if a.since.IsZero() {
		return 0, false
	}
	return now.Sub(a.since), a.surged
}
