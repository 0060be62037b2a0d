package tenure

import "time"

const (
	// LeaseDuration is how long an owner may act after it sent its last successful
	// renewal. It covers four renewals, or two and the 0.6 s that one takes while
	// the platform is slow.
	LeaseDuration = 1500 * time.Millisecond
	// TakeoverTimeout is how long a challenger must have seen no renewal before it
	// takes over. It is LeaseDuration and at least a tenth more, for clocks that
	// run at different rates.
	TakeoverTimeout = 1750 * time.Millisecond
	// RenewInterval is the time between renewals in the main home if the owner has
	// no state to write.
	RenewInterval = 300 * time.Millisecond
)

// Action is what a challenger should do about a cell.
type Action string

// The actions.
const (
	// Wait means that another entry owns or may own the cell.
	Wait Action = "wait"
	// Acquire means that the challenger should take over the cell.
	Acquire Action = "take"
)

// Owner is the content of an owner row.
type Owner struct {
	// Name is the name of the owner, and Session identifies one start of its
	// process. An empty name means that the last owner released the cell.
	Name    string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"`
}

// Obstacle is why a challenger does not take over a home. It is empty if the challenger
// should take over the home.
type Obstacle string

// The obstacles.
const (
	// ObstacleUnread means that the home was not read.
	ObstacleUnread Obstacle = "home unread"
	// ObstacleSilent means that the platform does not answer reads of renewals, or not
	// for long enough to tell that the owner does not renew, or that no read of the home
	// was answered since its owner's lease expired or a takeover of it failed.
	ObstacleSilent Obstacle = "table does not answer"
	// ObstacleRenewed means that the owner renewed the home recently.
	ObstacleRenewed Obstacle = "owner renews"
	// ObstacleDelay means that the challenger waits for better suited ones.
	ObstacleDelay Obstacle = "takeover delay"
)

// HomeView is the ownership of one home of a cell, as a challenger has read it. The
// zero value is a home that was not read.
type HomeView struct {
	owner          Owner
	ownerVersion   uint64
	renewalVersion uint64
	// changedAt is when a newer version of a row was last observed.
	changedAt time.Time
	known     bool
	// failed is true from a failed takeover of the home until a read of it is answered,
	// which was last so at recoveredAt.
	failed      bool
	recoveredAt time.Time
	// answeredAt is when the first read was answered after the owner's lease expired.
	// Until then it is the time of the last answered read.
	answeredAt time.Time
}

// Observe records the owner of a home and the versions of its owner row and renewal
// row. The version of a row that does not exist is 0. Older versions than observed
// before are ignored.
func (v *HomeView) Observe(now time.Time, owner Owner, ownerVersion, renewalVersion uint64) {
	if v.known && ownerVersion <= v.ownerVersion && renewalVersion <= v.renewalVersion {
		return
	}
	if ownerVersion >= v.ownerVersion {
		v.owner, v.ownerVersion = owner, ownerVersion
	}
	v.renewalVersion = max(v.renewalVersion, renewalVersion)
	v.changedAt, v.known, v.failed = now, true, false
}

// ObserveFailure records that the part of the table with the home did not carry out a
// takeover.
func (v *HomeView) ObserveFailure() { v.failed = true }

// ObserveAnswer records that a read of the home was answered.
func (v *HomeView) ObserveAnswer(now time.Time) {
	if v.failed {
		v.failed, v.recoveredAt = false, now
	}
	if !v.readSinceExpiry() {
		v.answeredAt = now
	}
}

// expiry returns when the lease of an owner that does not renew has expired.
func (v *HomeView) expiry() time.Time { return v.changedAt.Add(LeaseDuration) }

// readSinceExpiry reports whether a read was answered after the owner's lease expired.
func (v *HomeView) readSinceExpiry() bool { return !v.answeredAt.Before(v.expiry()) }

// mustBeRead reports whether the challenger me needs an answered read of the home before it
// may take it over. If the owner does not renew, the home's part of the table may be down
// for the challenger, too.
func (v *HomeView) mustBeRead(now time.Time, me Owner) bool {
	if !v.known || v.failed {
		return true
	}
	return v.owner.Name != "" && v.owner.Name != me.Name && !now.Before(v.expiry()) && !v.readSinceExpiry()
}

// Known reports whether the home was read.
func (v *HomeView) Known() bool { return v.known }

// Owner returns the owner of the home.
func (v *HomeView) Owner() Owner { return v.owner }

// Versions returns the newest versions of the owner row and the renewal row.
func (v *HomeView) Versions() (owner, renewal uint64) { return v.ownerVersion, v.renewalVersion }

// NextAction returns what the challenger me should do about the home. The platform has
// answered the challenger's reads since answeredSince, which is zero if it does not
// answer now. Every challenger has its own delay: the least loaded one has the shortest
// and takes over first. The delay does not begin before the home can be read: in an outage
// it would pass for all challengers.
func (v *HomeView) NextAction(now time.Time, me Owner, answeredSince time.Time, delay time.Duration) Action {
	if v.obstacle(now, me, answeredSince, delay) == "" {
		return Acquire
	}
	return Wait
}

// obstacle returns why the challenger does not take over the home; see
// [HomeView.NextAction].
func (v *HomeView) obstacle(now time.Time, me Owner, answeredSince time.Time, delay time.Duration) Obstacle {
	switch {
	case !v.known:
		return ObstacleUnread
	case answeredSince.IsZero() || v.failed:
		return ObstacleSilent
	}
	delayedSince := v.recoveredAt
	switch {
	case v.owner.Name == "" || v.owner == me:
		// If the owner is me, this entry has taken over the home but does not own the
		// cell: it did not get all homes, or it has released the cell.
		delayedSince = later(delayedSince, v.changedAt)
	case v.owner.Name == me.Name: // the owner was an earlier start of this process
	case now.Sub(v.changedAt) < TakeoverTimeout:
		return ObstacleRenewed
	case v.mustBeRead(now, me):
		return ObstacleSilent
	default:
		delayedSince = later(delayedSince, later(v.changedAt.Add(TakeoverTimeout), v.answeredAt))
		if now.Sub(delayedSince) >= delay && now.Sub(answeredSince) < TakeoverTimeout/2 {
			return ObstacleSilent
		}
	}
	if now.Sub(delayedSince) < delay {
		return ObstacleDelay
	}
	return ""
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
