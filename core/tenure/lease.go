package tenure

import (
	"time"

	"bramleyrock/core/works"
)

const (
	// SecondaryRenewInterval is the time between renewals in a home other than the
	// main one. Two of them fit into LeaseDuration.
	SecondaryRenewInterval = 600 * time.Millisecond
	// switchMainAfter is how long a write to the main home may be pending before
	// another home becomes the main one. While the platform is slow, an answer
	// takes up to 0.6 s.
	switchMainAfter = 900 * time.Millisecond
	// excludeAfter is how long a write to a home may be pending before the home is
	// excluded, so that a challenger does not have to take it over either.
	excludeAfter = 1200 * time.Millisecond
)

// homeState is the state of a home for the owner of the cell.
type homeState string

const (
	// homeExcluded means that the home is not in the owner's records.
	homeExcluded homeState = ""
	// homeJoining means that the home is in the owner's records but does not prove
	// ownership yet.
	homeJoining homeState = "joining"
	// homeHeld means that the owner has taken over the home. A renewal in it proves
	// ownership.
	homeHeld homeState = "held"
)

// homeLease is the state of one home of a [Lease].
type homeLease struct {
	state homeState
	// ownerVersion and renewalVersion are the conditions of the next write.
	ownerVersion   uint64
	renewalVersion uint64
	// renewedAt is when the last successful write was sent, and sentAt when the
	// last write was sent. sentSeq is the sequence number of the latter's record.
	renewedAt time.Time
	sentAt    time.Time
	sentSeq   uint64
	// pending is true while the outcome of the last write is unknown.
	pending bool
	// hasUniqueState is true if the home may hold state that no other home has.
	hasUniqueState bool
	// joinSeq is the sequence number of the first record that lists a joining home.
	// announced is true once such a record is stored in another home that is held.
	joinSeq   uint64
	announced bool
}

// Lease is an owner's ownership of a cell. A renewal in any of its homes extends it,
// because a challenger must take over all homes of the newest record. For the same
// reason, a home is added to the record before renewals in it count, and they stop
// counting before the home is removed from the record.
type Lease struct {
	fence       uint64
	seq         uint64
	main        int
	copiedSince works.Stamp
	homes       [HomeCount]homeLease
}

// AcquiredHome is a home that an entry has taken over.
type AcquiredHome struct {
	Home int
	// Version is the version of the home's rows after the takeover, which was sent
	// at SentAt.
	Version uint64
	SentAt  time.Time
}

// NewLease returns the lease of an entry that has taken over all homes of a record.
func NewLease(r Record, acquired []AcquiredHome) *Lease {
	l := &Lease{main: r.Main, copiedSince: r.CopiedSince}
	for _, a := range acquired {
		l.fence = max(l.fence, a.Version)
		l.homes[a.Home] = homeLease{
			state: homeHeld, ownerVersion: a.Version, renewalVersion: a.Version,
			renewedAt: a.SentAt, sentAt: a.SentAt, hasUniqueState: true,
		}
	}
	if l.homes[l.main].state != homeHeld && len(acquired) > 0 {
		l.main = acquired[0].Home
		l.BeginCopy()
	}
	return l
}

// Fence returns the owner's epoch: the greatest version of the homes at its takeover,
// which is greater than all versions that former owners wrote to them.
func (l *Lease) Fence() uint64 { return l.fence }

// Main returns the main home, to which the owner writes state.
func (l *Lease) Main() int { return l.main }

// FencingToken returns the version of the owner's newest successful write. It grows
// from owner to owner.
func (l *Lease) FencingToken() uint64 {
	v := l.fence
	for i := range l.homes {
		if l.homes[i].state == homeHeld {
			v = max(v, l.homes[i].renewalVersion)
		}
	}
	return v
}

// ValidUntil returns until when the owner may act without another successful write.
// It returns the zero time if the owner may not act.
func (l *Lease) ValidUntil() time.Time {
	var t time.Time
	for i := range l.homes {
		if h := &l.homes[i]; h.state == homeHeld && h.renewedAt.After(t) {
			t = h.renewedAt
		}
	}
	if t.IsZero() {
		return t
	}
	return t.Add(LeaseDuration)
}

// HeldHomes returns the homes that the owner has taken over, which prove ownership.
func (l *Lease) HeldHomes() []int {
	var list []int
	for i := range l.homes {
		if l.homes[i].state == homeHeld {
			list = append(list, i)
		}
	}
	return list
}

// ExcludedHomes returns the homes that are not in the owner's records.
func (l *Lease) ExcludedHomes() []int {
	var list []int
	for i := range l.homes {
		if l.homes[i].state == homeExcluded {
			list = append(list, i)
		}
	}
	return list
}

// Versions returns the versions of a home's owner row and renewal row that are the
// conditions of the next write to the home.
func (l *Lease) Versions(home int) (owner, renewal uint64) {
	return l.homes[home].ownerVersion, l.homes[home].renewalVersion
}

// IsJoining reports whether the next write to the home must also write its owner
// row.
func (l *Lease) IsJoining(home int) bool { return l.homes[home].state == homeJoining }

// HomesToRenew returns the homes to which a renewal should be written now. If urgent
// is true, there is state to write, and the main home is included at once. A home
// with a pending write is left out.
func (l *Lease) HomesToRenew(now time.Time, urgent bool) []int {
	var list []int
	for i := range l.homes {
		h := &l.homes[i]
		if h.pending {
			continue
		}
		since := now.Sub(h.sentAt)
		switch {
		case i == l.main && (urgent || since >= RenewInterval):
			list = append(list, i)
		case i != l.main && h.state == homeHeld && since >= SecondaryRenewInterval:
			list = append(list, i)
		case h.state == homeJoining && h.announced:
			list = append(list, i)
		}
	}
	return list
}

// BeginWrite records that a write to a home is being sent, and returns the record
// that the write must contain.
func (l *Lease) BeginWrite(now time.Time, home int) Record {
	l.seq++
	h := &l.homes[home]
	h.pending, h.sentAt, h.sentSeq = true, now, l.seq
	r := Record{Fence: l.fence, Seq: l.seq, Main: l.main, CopiedSince: l.copiedSince}
	for i := range l.homes {
		if l.homes[i].state != homeExcluded {
			r.Homes = append(r.Homes, i)
		}
	}
	return r
}

// CompleteWrite records that the last write to a home succeeded and gave its rows
// the given version.
func (l *Lease) CompleteWrite(home int, version uint64) {
	h := &l.homes[home]
	h.pending, h.renewalVersion = false, version
	switch h.state {
	case homeExcluded:
		return // it was excluded meanwhile and must join again
	case homeJoining:
		h.state, h.ownerVersion = homeHeld, version
	}
	h.renewedAt = h.sentAt
	for i := range l.homes {
		if o := &l.homes[i]; i != home && o.state == homeJoining && h.sentSeq >= o.joinSeq {
			o.announced = true
		}
	}
}

// Reconcile records the contents of a home's rows, which are read after a write that
// failed or had no answer, or to let an excluded home join. mine tells whether the
// owner row names this owner. Reconcile reports whether the cell is lost because
// another entry has taken over the home.
func (l *Lease) Reconcile(home int, mine bool, ownerVersion, renewalVersion uint64) (lost bool) {
	h := &l.homes[home]
	h.pending = false
	if h.state == homeHeld && (!mine || ownerVersion != h.ownerVersion) {
		return true
	}
	h.ownerVersion, h.renewalVersion = ownerVersion, renewalVersion
	if h.state == homeExcluded {
		h.state, h.joinSeq, h.announced = homeJoining, l.seq+1, false
	}
	return false
}

// SwitchMain makes another home the main one if a write to the main home has been
// pending for long and the other home has answered a later write. It reports whether
// it did. State that only the former main home holds must then be written again; see
// [Lease.CompleteCopy].
func (l *Lease) SwitchMain(now time.Time) bool {
	m := &l.homes[l.main]
	if !m.pending || now.Sub(m.sentAt) < switchMainAfter {
		return false
	}
	best := -1
	for i := range l.homes {
		h := &l.homes[i]
		if h.state != homeHeld || h.pending || !h.renewedAt.After(m.sentAt) {
			continue
		}
		if best < 0 || h.renewedAt.After(l.homes[best].renewedAt) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	l.main = best
	l.homes[best].hasUniqueState = true
	return true
}

// BeginCopy records that, from the next write on, the state of all jobs without an
// outcome is written to the main home again.
func (l *Lease) BeginCopy() { l.copiedSince = works.Stamp{Fence: l.fence, Seq: l.seq + 1} }

// CompleteCopy records that the main home holds all state.
func (l *Lease) CompleteCopy() {
	for i := range l.homes {
		l.homes[i].hasUniqueState = i == l.main
	}
}

// ExcludeUnresponsive excludes the homes to which a write has been pending for long,
// except the main home and homes with unique state, and returns them.
func (l *Lease) ExcludeUnresponsive(now time.Time) []int {
	var list []int
	for i := range l.homes {
		h := &l.homes[i]
		if i != l.main && h.state != homeExcluded && h.pending && !h.hasUniqueState && now.Sub(h.sentAt) >= excludeAfter {
			h.state = homeExcluded
			list = append(list, i)
		}
	}
	return list
}
