package peers

import (
	"time"

	rock "bramleyrock"
)

// Info is what is known of one peer.
type Info struct {
	member    rock.Member
	state     rock.EntryState
	heartbeat rock.Heartbeat
	heardAt   time.Time
	roundTrip time.Duration
}

// Member returns the peer's newest known identity.
func (s Info) Member() rock.Member { return s.member }

// Heartbeat returns the last heartbeat of the newest incarnation; it is zero
// if none was heard.
func (s Info) Heartbeat() rock.Heartbeat { return s.heartbeat }

// HeardAt returns the time of the last heartbeat, or the zero time.
func (s Info) HeardAt() time.Time { return s.heardAt }

// RoundTrip returns the smoothed round-trip time to the peer.
func (s Info) RoundTrip() time.Duration { return s.roundTrip }

func (s Info) stateAt(now time.Time, l Limits) State {
	switch {
	case s.state == rock.EntryGone:
		return Gone
	case s.state == rock.EntryLeaving || s.heartbeat.Leaving():
		return Leaving
	case s.heardAt.IsZero() || now.Sub(s.heardAt) > l.SlowAfter:
		return Slow
	}
	return Alive
}
