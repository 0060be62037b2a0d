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

// Activity remembers when a pool of the site last had a surge. The zero value is
// ready to use.
type Activity struct {
	// surgedAt is when the last surge was noted; before one is, it is the time of
	// the first note.
	surgedAt time.Time
}

// Note notes the mean rate at which work arrives at a pool, in cores, and the
// number of cores that each pool would have if all had the same.
func (a *Activity) Note(now time.Time, rate, even float64) {
	if a.surgedAt.IsZero() || even > 0 && rate >= surgeShare*even {
		a.surgedAt = now
	}
}

// Calm reports whether no pool has had a surge for a while.
func (a *Activity) Calm(now time.Time) bool {
	return !a.surgedAt.IsZero() && now.Sub(a.surgedAt) > calmTime
}
