package resize

import "time"

const (
	// surgeShare is the share of an even distribution of all cores from which
	// the rate of a pool's arrivals is a surge: a surging queue asks for four to
	// five times its mean, the others for a twentieth of theirs.
	surgeShare = 0.3
	// calmTime is how long no pool may have surged for the site to be calm. The
	// surges of a site last up to 10 s and follow each other without pause.
	calmTime = 15 * time.Second
)

// Activity remembers when a pool last had a surge. The zero value is ready to
// use.
type Activity struct {
	// since is the time of the last surge; before one is known, it is the time
	// of the first note.
	since  time.Time
	surged bool
}

// Observe notes the mean rate at which work arrives at the pool, in cores, and the
// number of cores that each pool would have if all had the same.
func (a *Activity) Observe(now time.Time, rate, even float64) {
	switch {
	case even > 0 && rate >= surgeShare*even:
		a.since, a.surged = now, true
	case a.since.IsZero():
		a.since = now
	}
}

// Restore continues what another owner of the pool has told of it.
func (a *Activity) Restore(now time.Time, rest time.Duration, surged bool) {
	a.since, a.surged = now.Add(-rest), surged
}

// SinceSurge returns how long ago the pool's last surge was. If surged is false none is
// known, and rest is how long the pool is known.
func (a *Activity) SinceSurge(now time.Time) (rest time.Duration, surged bool) {
	if a.since.IsZero() {
		return 0, false
	}
	return now.Sub(a.since), a.surged
}
