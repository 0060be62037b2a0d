package peers

import (
	"cmp"
	"slices"
	"time"

	rock "bramleyrock"
)

// roundTripDivisor is the inverse of the weight of a new measurement in the
// smoothed round-trip time.
const roundTripDivisor = 4

// View is an entry's view of its peers. It is not safe for concurrent use.
type View struct {
	self   rock.Member
	limits Limits
	peers  map[string]*Info
}

// NewView returns the view of the entry self, without peers.
func NewView(self rock.Member, limits Limits) *View {
	return &View{self: self, limits: limits.withDefaults(), peers: map[string]*Info{}}
}

// RecordHeartbeat records a heartbeat that was received at now. RoundTrip is the
// measured round-trip time, or 0. It returns false and ignores the heartbeat if
// it is of an older incarnation, of a peer that is gone, or of the entry itself.
func (v *View) RecordHeartbeat(now time.Time, h rock.Heartbeat, roundTrip time.Duration) bool {
	info := v.currentInfo(h.Member())
	if info == nil || info.state == rock.EntryGone {
		return false
	}
	info.heartbeat = h
	info.heardAt = now
	info.roundTrip = smoothRoundTrip(info.roundTrip, roundTrip)
	return true
}

// RecordStatuses records status rows. They show which peers exist, are leaving or
// are gone, but not which peers can be reached.
func (v *View) RecordStatuses(statuses []rock.EntryStatus) {
	for _, st := range statuses {
		info := v.currentInfo(st.Member())
		if info != nil {
			info.state = laterState(info.state, st.State())
		}
	}
}

// State returns the state of the named peer, and whether the peer is known.
func (v *View) State(now time.Time, name string) (State, bool) {
	info, ok := v.peers[name]
	if !ok {
		return "", false
	}
	return info.stateAt(now, v.limits), true
}

// Find returns what is known of the named peer, and whether the peer is known.
func (v *View) Find(name string) (Info, bool) {
	info, ok := v.peers[name]
	if !ok {
		return Info{}, false
	}
	return *info, true
}

// Alive returns the peers that are alive at now. Peers of the entry's own
// availability zone come first; within that order, peers are sorted by round-trip
// time, then by name.
func (v *View) Alive(now time.Time) []Info {
	alive := make([]Info, 0, len(v.peers))
	for _, info := range v.peers {
		if info.stateAt(now, v.limits) == Alive {
			alive = append(alive, *info)
		}
	}
	slices.SortFunc(alive, v.compare)
	return alive
}

// All returns what is known of every peer, sorted by name.
func (v *View) All() []Info {
	all := make([]Info, 0, len(v.peers))
	for _, info := range v.peers {
		all = append(all, *info)
	}
	slices.SortFunc(all, func(a, b Info) int { return cmp.Compare(a.member.Name(), b.member.Name()) })
	return all
}

// Members returns the newest identity of every peer that is not gone, sorted by
// name.
func (v *View) Members() []rock.Member {
	members := make([]rock.Member, 0, len(v.peers))
	for _, info := range v.All() {
		if info.state != rock.EntryGone {
			members = append(members, info.member)
		}
	}
	return members
}

// currentInfo returns what is known of m. It adds m if the peer or its incarnation
// is new, and returns nil if m is the entry itself or an older incarnation.
func (v *View) currentInfo(m rock.Member) *Info {
	if m.Name() == "" || m.Name() == v.self.Name() {
		return nil
	}
	info, ok := v.peers[m.Name()]
	if ok && info.member.Incarnation() > m.Incarnation() {
		return nil
	}
	if !ok || info.member.Incarnation() < m.Incarnation() {
		info = &Info{member: m, state: rock.EntryRunning}
		v.peers[m.Name()] = info
	}
	return info
}

func (v *View) compare(a, b Info) int {
	return cmp.Or(
		cmp.Compare(v.zoneDistance(a), v.zoneDistance(b)),
		cmp.Compare(a.roundTrip, b.roundTrip),
		cmp.Compare(a.member.Name(), b.member.Name()),
	)
}

func (v *View) zoneDistance(info Info) int {
	if info.member.Zone() == v.self.Zone() {
		return 0
	}
	return 1
}

// laterState returns the later of two states in the lifecycle of an incarnation.
func laterState(a, b rock.EntryState) rock.EntryState {
	order := []rock.EntryState{rock.EntryRunning, rock.EntryLeaving, rock.EntryGone}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}

func smoothRoundTrip(previous, measured time.Duration) time.Duration {
	switch {
	case measured <= 0:
		return previous
	case previous == 0:
		return measured
	}
	return previous + (measured-previous)/roundTripDivisor
}
