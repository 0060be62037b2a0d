package peers

import (
	"cmp"
	"slices"
	"time"

	rock "bramleyrock"
)

// roundTripDivisor is the part of a new reading in the smoothed round-trip time:
// one in so many.
const roundTripDivisor = 4

// View is what an entry believes about its peers. It is not safe for
// concurrent use.
type View struct {
	self   rock.Member
	limits Limits
	peers  map[string]*Info
}

// NewView returns the view of an entry that knows no peers yet.
func NewView(self rock.Member, limits Limits) *View {
	return &View{self: self, limits: limits.withDefaults(), peers: map[string]*Info{}}
}

// RecordHeartbeat takes a heartbeat that came in now. RoundTrip is 0 if it was not
// measured. It reports whether the heartbeat was taken: one of an older
// incarnation, of a peer that is gone, or of the entry itself is not.
func (v *View) RecordHeartbeat(now time.Time, h rock.Heartbeat, roundTrip time.Duration) bool {
	s := v.currentInfo(h.Member())
	if s == nil || s.state == rock.EntryGone {
		return false
	}
	s.heartbeat = h
	s.heardAt = now
	s.roundTrip = smoothRoundTrip(s.roundTrip, roundTrip)
	return true
}

// RecordStatuses takes status rows. A row tells who exists, who is leaving and who is
// gone; it says nothing about who can be reached.
func (v *View) RecordStatuses(statuses []rock.EntryStatus) {
	for _, st := range statuses {
		s := v.currentInfo(st.Member())
		if s != nil {
			s.state = laterState(s.state, st.State())
		}
	}
}

// State returns the state of the named peer, and whether the peer is known.
func (v *View) State(now time.Time, name string) (State, bool) {
	s, ok := v.peers[name]
	if !ok {
		return "", false
	}
	return s.stateAt(now, v.limits), true
}

// Find returns what is known of the named peer.
func (v *View) Find(name string) (Info, bool) {
	s, ok := v.peers[name]
	if !ok {
		return Info{}, false
	}
	return *s, true
}

// Alive returns the peers that are alive: those of the own availability zone
// first, then by round-trip time, then by name.
func (v *View) Alive(now time.Time) []Info {
	alive := make([]Info, 0, len(v.peers))
	for _, s := range v.peers {
		if s.stateAt(now, v.limits) == Alive {
			alive = append(alive, *s)
		}
	}
	slices.SortFunc(alive, v.compare)
	return alive
}

// All returns what is known of every peer, in order of name.
func (v *View) All() []Info {
	all := make([]Info, 0, len(v.peers))
	for _, s := range v.peers {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b Info) int { return cmp.Compare(a.member.Name(), b.member.Name()) })
	return all
}

// Members returns the newest identity of every peer that is not gone, in order
// of name.
func (v *View) Members() []rock.Member {
	members := make([]rock.Member, 0, len(v.peers))
	for _, s := range v.All() {
		if s.state != rock.EntryGone {
			members = append(members, s.member)
		}
	}
	return members
}

// currentInfo returns the sighting of m, or nil if m is the entry itself or an older
// incarnation.
func (v *View) currentInfo(m rock.Member) *Info {
	if m.Name() == "" || m.Name() == v.self.Name() {
		return nil
	}
	s, ok := v.peers[m.Name()]
	if ok && s.member.Incarnation() > m.Incarnation() {
		return nil
	}
	if !ok || s.member.Incarnation() < m.Incarnation() {
		s = &Info{member: m, state: rock.EntryRunning}
		v.peers[m.Name()] = s
	}
	return s
}

func (v *View) compare(a, b Info) int {
	return cmp.Or(
		cmp.Compare(v.zoneDistance(a), v.zoneDistance(b)),
		cmp.Compare(a.roundTrip, b.roundTrip),
		cmp.Compare(a.member.Name(), b.member.Name()),
	)
}

func (v *View) zoneDistance(s Info) int {
	if s.member.Zone() == v.self.Zone() {
		return 0
	}
	return 1
}

// laterState returns the state that comes later in the life of an incarnation.
func laterState(a, b rock.EntryState) rock.EntryState {
	order := []rock.EntryState{rock.EntryRunning, rock.EntryLeaving, rock.EntryGone}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}

func smoothRoundTrip(old, reading time.Duration) time.Duration {
	switch {
	case reading <= 0:
		return old
	case old == 0:
		return reading
	}
	return old + (reading-old)/roundTripDivisor
}
