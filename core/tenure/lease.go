package tenure

import (
	"time"

	"bramleyrock/core/works"
)

const (
	// SecondaryRenewInterval is the time between renewals of a home other than the main
	// one. Two are made while ownership that was proved there last holds.
	SecondaryRenewInterval = 600 * time.Millisecond
	// switchMainAfter is how long the main home may leave a write open before
	// another takes its place: an answer takes up to 0.6 s in a slow spell.
	switchMainAfter = 900 * time.Millisecond
	// excludeAfter is how long a home may leave a write open before it does not
	// count any more, so that a challenger need not have it either.
	excludeAfter = 1200 * time.Millisecond
)

// homeState is what a home is to the owner of the cell.
type homeState string

const (
	// homeExcluded is a home that does not count.
	homeExcluded homeState = ""
	// homeJoining is a home that is named in records, and proves nothing yet.
	homeJoining homeState = "joining"
	// homeHeld is a home that the owner has taken.
	homeHeld homeState = "held"
)

// homeLease is what an owner knows of a home.
type homeLease struct {
	state homeState
	// ownerVersion and beatVersion are the conditions of the next write.
	ownerVersion   uint64
	renewalVersion uint64
	// renewedAt is when the last write that succeeded was sent, sentAt when the
	// last write was.
	renewedAt time.Time
	sentAt    time.Time
	sentSeq   uint64
	// pending is true while the outcome of the last write is not known.
	pending bool
	// hasUniqueState is true if state may be stored there that no other home has.
	hasUniqueState bool
	// joinSeq is the place of the first record that named a joining home;
	// announced is true once a held home has such a record.
	joinSeq   uint64
	announced bool
}

// Lease is an owner's ownership of a cell. Any home that counts proves it: a
// challenger needs all of them. A home is added to the record before it counts, and
// does not count any more before it is left out.
type Lease struct {
	fence       uint64
	seq         uint64
	main        int
	copiedSince works.Stamp
	homes       [HomeCount]homeLease
}

// AcquiredHome is a home that was taken for a new owner.
type AcquiredHome struct {
	Home    int
	Version uint64
	SentAt  time.Time
}

// NewLease returns the lease of an owner that has taken all homes of a record.
func NewLease(r Record, taken []AcquiredHome) *Lease {
	l := &Lease{main: r.Main, copiedSince: r.CopiedSince}
	for _, t := range taken {
		l.fence = max(l.fence, t.Version)
		l.homes[t.Home] = homeLease{
			state: homeHeld, ownerVersion: t.Version, renewalVersion: t.Version,
			renewedAt: t.SentAt, sentAt: t.SentAt, hasUniqueState: true,
		}
	}
	if l.homes[l.main].state != homeHeld && len(taken) > 0 {
		l.main = taken[0].Home
		l.BeginCopy()
	}
	return l
}

// Fence returns the version above those of all former owners' homes.
func (l *Lease) Fence() uint64 { return l.fence }

// Main returns the home in which state is written.
func (l *Lease) Main() int { return l.main }

// FencingToken returns the version of the newest write, which grows from owner to owner.
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
func (l *Lease) ValidUntil() time.Time {
	var t time.Time
	for i := range l.homes {
		if p := &l.homes[i]; p.state == homeHeld && p.renewedAt.After(t) {
			t = p.renewedAt
		}
	}
	if t.IsZero() {
		return t
	}
	return t.Add(LeaseDuration)
}

// HeldHomes returns the homes that the owner has taken.
func (l *Lease) HeldHomes() []int {
	var list []int
	for i := range l.homes {
		if l.homes[i].state == homeHeld {
			list = append(list, i)
		}
	}
	return list
}

// ExcludedHomes returns the homes that do not count.
func (l *Lease) ExcludedHomes() []int {
	var list []int
	for i := range l.homes {
		if l.homes[i].state == homeExcluded {
			list = append(list, i)
		}
	}
	return list
}

// Versions returns the conditions of a home's next write.
func (l *Lease) Versions(home int) (owner, beat uint64) {
	return l.homes[home].ownerVersion, l.homes[home].renewalVersion
}

// IsJoining reports whether the home's next write must name the owner.
func (l *Lease) IsJoining(home int) bool { return l.homes[home].state == homeJoining }

// HomesToRenew returns the homes that should be renewed now, or written to if urgent is true.
func (l *Lease) HomesToRenew(now time.Time, urgent bool) []int {
	var list []int
	for i := range l.homes {
		p := &l.homes[i]
		if p.pending {
			continue
		}
		since := now.Sub(p.sentAt)
		switch {
		case i == l.main && (urgent || since >= RenewInterval):
			list = append(list, i)
		case i != l.main && p.state == homeHeld && since >= SecondaryRenewInterval:
			list = append(list, i)
		case p.state == homeJoining && p.announced:
			list = append(list, i)
		}
	}
	return list
}

// BeginWrite notes that a write to a home is being sent, and returns the record that it
// holds.
func (l *Lease) BeginWrite(now time.Time, home int) Record {
	l.seq++
	p := &l.homes[home]
	p.pending, p.sentAt, p.sentSeq = true, now, l.seq
	r := Record{Fence: l.fence, Seq: l.seq, Main: l.main, CopiedSince: l.copiedSince}
	for i := range l.homes {
		if l.homes[i].state != homeExcluded {
			r.Homes = append(r.Homes, i)
		}
	}
	return r
}

// CompleteWrite notes that the last write to a home succeeded.
func (l *Lease) CompleteWrite(home int, version uint64) {
	p := &l.homes[home]
	p.pending, p.renewalVersion = false, version
	switch p.state {
	case homeExcluded:
		return // it was dropped meanwhile, and has to join again
	case homeJoining:
		p.state, p.ownerVersion = homeHeld, version
	}
	p.renewedAt = p.sentAt
	for i := range l.homes {
		if o := &l.homes[i]; i != home && o.state == homeJoining && p.sentSeq >= o.joinSeq {
			o.announced = true
		}
	}
}

// Reconcile notes what a home's rows tell after a write that failed or had no answer,
// or of a home that does not count. It reports whether the cell is lost.
func (l *Lease) Reconcile(home int, mine bool, ownerVersion, beatVersion uint64) (lost bool) {
	p := &l.homes[home]
	p.pending = false
	if p.state == homeHeld && (!mine || ownerVersion != p.ownerVersion) {
		return true
	}
	p.ownerVersion, p.renewalVersion = ownerVersion, beatVersion
	if p.state == homeExcluded {
		p.state, p.joinSeq, p.announced = homeJoining, l.seq+1, false
	}
	return false
}

// SwitchMain makes another home the main one if that has left a write open for long
// although the other one has answered since. State that only the former one holds
// must be written again; see [Lease.CompleteCopy].
func (l *Lease) SwitchMain(now time.Time) bool {
	m := &l.homes[l.main]
	if !m.pending || now.Sub(m.sentAt) < switchMainAfter {
		return false
	}
	best := -1
	for i := range l.homes {
		p := &l.homes[i]
		if p.state != homeHeld || p.pending || !p.renewedAt.After(m.sentAt) {
			continue
		}
		if best < 0 || p.renewedAt.After(l.homes[best].renewedAt) {
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

// BeginCopy notes that all live state will be written to the main home again, from the
// next write on.
func (l *Lease) BeginCopy() { l.copiedSince = works.Stamp{Fence: l.fence, Seq: l.seq + 1} }

// CompleteCopy notes that the main home holds all state.
func (l *Lease) CompleteCopy() {
	for i := range l.homes {
		l.homes[i].hasUniqueState = i == l.main
	}
}

// ExcludeUnresponsive leaves out the homes that have left a write open for long and hold nothing,
// and returns them.
func (l *Lease) ExcludeUnresponsive(now time.Time) []int {
	var list []int
	for i := range l.homes {
		p := &l.homes[i]
		if i != l.main && p.state != homeExcluded && p.pending && !p.hasUniqueState && now.Sub(p.sentAt) >= excludeAfter {
			p.state = homeExcluded
			list = append(list, i)
		}
	}
	return list
}
