package tenure

import (
	"time"

	"bramleyrock/core/works"
)

const (
	// SecondaryRenewInterval is the time between renewals of a home other than the main
	// one. Two are made while ownership that was proved there last holds.
	SecondaryRenewInterval = 600 * time.Millisecond
	// switchAfter is how long the main home may leave a write open before
	// another takes its place: an answer takes up to 0.6 s in a slow spell.
	switchAfter = 900 * time.Millisecond
	// dropAfter is how long a home may leave a write open before it does not
	// count any more, so that a challenger need not have it either.
	dropAfter = 1200 * time.Millisecond
)

// standing is what a home is to the owner of the cell.
type standing string

const (
	// out is a home that does not count.
	out standing = ""
	// joining is a home that is named in records, and proves nothing yet.
	joining standing = "joining"
	// held is a home that the owner has taken.
	held standing = "held"
)

// place is what an owner knows of a home.
type place struct {
	standing standing
	// ownerVersion and beatVersion are the conditions of the next write.
	ownerVersion uint64
	beatVersion  uint64
	// renewedAt is when the last write that succeeded was sent, sentAt when the
	// last write was.
	renewedAt time.Time
	sentAt    time.Time
	sentSeq   uint64
	// open is true while the outcome of the last write is not known.
	open bool
	// holds is true if state may be stored there that no other home has.
	holds bool
	// joinSeq is the place of the first record that named a joining home;
	// announced is true once a held home has such a record.
	joinSeq   uint64
	announced bool
}

// Lease is an owner's ownership of a cell. Any home that counts proves it: a
// challenger needs all of them. A home is added to the record before it counts, and
// does not count any more before it is left out.
type Lease struct {
	fence uint64
	seq   uint64
	main  int
	since works.Stamp
	homes [HomeCount]place
}

// AcquiredHome is a home that was taken for a new owner.
type AcquiredHome struct {
	Home    int
	Version uint64
	SentAt  time.Time
}

// NewLease returns the lease of an owner that has taken all homes of a record.
func NewLease(r Record, taken []AcquiredHome) *Lease {
	l := &Lease{main: r.Main, since: r.CopiedSince}
	for _, t := range taken {
		l.fence = max(l.fence, t.Version)
		l.homes[t.Home] = place{
			standing: held, ownerVersion: t.Version, beatVersion: t.Version,
			renewedAt: t.SentAt, sentAt: t.SentAt, holds: true,
		}
	}
	if l.homes[l.main].standing != held && len(taken) > 0 {
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
		if l.homes[i].standing == held {
			v = max(v, l.homes[i].beatVersion)
		}
	}
	return v
}

// ValidUntil returns until when the owner may act without another successful write.
func (l *Lease) ValidUntil() time.Time {
	var t time.Time
	for i := range l.homes {
		if p := &l.homes[i]; p.standing == held && p.renewedAt.After(t) {
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
		if l.homes[i].standing == held {
			list = append(list, i)
		}
	}
	return list
}

// ExcludedHomes returns the homes that do not count.
func (l *Lease) ExcludedHomes() []int {
	var list []int
	for i := range l.homes {
		if l.homes[i].standing == out {
			list = append(list, i)
		}
	}
	return list
}

// Versions returns the conditions of a home's next write.
func (l *Lease) Versions(home int) (owner, beat uint64) {
	return l.homes[home].ownerVersion, l.homes[home].beatVersion
}

// IsJoining reports whether the home's next write must name the owner.
func (l *Lease) IsJoining(home int) bool { return l.homes[home].standing == joining }

// HomesToRenew returns the homes that should be renewed now, or written to if urgent is true.
func (l *Lease) HomesToRenew(now time.Time, urgent bool) []int {
	var list []int
	for i := range l.homes {
		p := &l.homes[i]
		if p.open {
			continue
		}
		since := now.Sub(p.sentAt)
		switch {
		case i == l.main && (urgent || since >= RenewInterval):
			list = append(list, i)
		case i != l.main && p.standing == held && since >= SecondaryRenewInterval:
			list = append(list, i)
		case p.standing == joining && p.announced:
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
	p.open, p.sentAt, p.sentSeq = true, now, l.seq
	r := Record{Fence: l.fence, Seq: l.seq, Main: l.main, CopiedSince: l.since}
	for i := range l.homes {
		if l.homes[i].standing != out {
			r.Homes = append(r.Homes, i)
		}
	}
	return r
}

// CompleteWrite notes that the last write to a home succeeded.
func (l *Lease) CompleteWrite(home int, version uint64) {
	p := &l.homes[home]
	p.open, p.beatVersion = false, version
	switch p.standing {
	case out:
		return // it was dropped meanwhile, and has to join again
	case joining:
		p.standing, p.ownerVersion = held, version
	}
	p.renewedAt = p.sentAt
	for i := range l.homes {
		if o := &l.homes[i]; i != home && o.standing == joining && p.sentSeq >= o.joinSeq {
			o.announced = true
		}
	}
}

// Reconcile notes what a home's rows tell after a write that failed or had no answer,
// or of a home that does not count. It reports whether the cell is lost.
func (l *Lease) Reconcile(home int, mine bool, ownerVersion, beatVersion uint64) (lost bool) {
	p := &l.homes[home]
	p.open = false
	if p.standing == held && (!mine || ownerVersion != p.ownerVersion) {
		return true
	}
	p.ownerVersion, p.beatVersion = ownerVersion, beatVersion
	if p.standing == out {
		p.standing, p.joinSeq, p.announced = joining, l.seq+1, false
	}
	return false
}

// SwitchMain makes another home the main one if that has left a write open for long
// although the other one has answered since. State that only the former one holds
// must be written again; see [Lease.CompleteCopy].
func (l *Lease) SwitchMain(now time.Time) bool {
	m := &l.homes[l.main]
	if !m.open || now.Sub(m.sentAt) < switchAfter {
		return false
	}
	best := -1
	for i := range l.homes {
		p := &l.homes[i]
		if p.standing != held || p.open || !p.renewedAt.After(m.sentAt) {
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
	l.homes[best].holds = true
	return true
}

// BeginCopy notes that all live state will be written to the main home again, from the
// next write on.
func (l *Lease) BeginCopy() { l.since = works.Stamp{Fence: l.fence, Seq: l.seq + 1} }

// CompleteCopy notes that the main home holds all state.
func (l *Lease) CompleteCopy() {
	for i := range l.homes {
		l.homes[i].holds = i == l.main
	}
}

// ExcludeUnresponsive leaves out the homes that have left a write open for long and hold nothing,
// and returns them.
func (l *Lease) ExcludeUnresponsive(now time.Time) []int {
	var list []int
	for i := range l.homes {
		p := &l.homes[i]
		if i != l.main && p.standing != out && p.open && !p.holds && now.Sub(p.sentAt) >= dropAfter {
			p.standing = out
			list = append(list, i)
		}
	}
	return list
}
