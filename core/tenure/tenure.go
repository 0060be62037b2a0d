package tenure

import "time"

const (
	// LeaseDuration is how long an owner may act after it sent its last successful
	// renewal: four renewals, or two and the 0.6 s that one takes in a slow spell
	// of the platform.
	LeaseDuration = 1500 * time.Millisecond
	// TakeoverTimeout is how long a challenger must see no renewal: ActFor, and a
	// tenth more for clocks that differ.
	TakeoverTimeout = 1750 * time.Millisecond
	// RenewInterval is the time between renewals of an idle owner.
	RenewInterval = 300 * time.Millisecond
)

// Action is what an entry should do about a cell.
type Action string

// The actions.
const (
	// Wait means that another entry owns the cell, or may.
	Wait Action = "wait"
	// Acquire means that the cell has no owner.
	Acquire Action = "take"
)

// Owner is who owns a cell, as its row tells.
type Owner struct {
	// Name names the entry, and Session one life of its process. An empty
	// name means that the last owner gave the cell up.
	Name    string `cbor:"1,keyasint"`
	Session string `cbor:"2,keyasint"`
}

// HomeView is what a challenger knows of the ownership of one home of a cell.
type HomeView struct {
	owner          Owner
	ownerVersion   uint64
	renewalVersion uint64
	changedAt      time.Time
	known          bool
}

// Observe notes what the rows of the cell hold. Versions of rows that do not exist
// are 0.
func (t *HomeView) Observe(now time.Time, owner Owner, ownerVersion, beatVersion uint64) {
	if t.known && ownerVersion <= t.ownerVersion && beatVersion <= t.renewalVersion {
		return
	}
	if ownerVersion >= t.ownerVersion {
		t.owner, t.ownerVersion = owner, ownerVersion
	}
	t.renewalVersion = max(t.renewalVersion, beatVersion)
	t.changedAt, t.known = now, true
}

// Known reports whether the rows were read.
func (t *HomeView) Known() bool { return t.known }

// Owner returns who owns the cell.
func (t *HomeView) Owner() Owner { return t.owner }

// Versions returns the versions of the rows.
func (t *HomeView) Versions() (owner, beat uint64) { return t.ownerVersion, t.renewalVersion }

// NextAction returns what the entry that is me should do. The platform has answered
// it since that time. Delay spreads the challengers, so that the least loaded
// is first.
func (t *HomeView) NextAction(now time.Time, me Owner, answeredSince time.Time, delay time.Duration) Action {
	if !t.known || answeredSince.IsZero() {
		return Wait
	}
	idle := now.Sub(t.changedAt)
	switch {
	case t.owner.Name == "":
		if idle >= delay {
			return Acquire
		}
	case t.owner == me:
		// This entry took it and does not own the cell: it did not get all homes, or
		// has given the cell up.
		if idle >= delay {
			return Acquire
		}
	case t.owner.Name == me.Name:
		return Acquire // the former life of this process is over
	case idle >= TakeoverTimeout+delay && now.Sub(answeredSince) >= TakeoverTimeout/2:
		return Acquire
	}
	return Wait
}
