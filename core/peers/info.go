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
func (i Info) Member() rock.Member { return i.member }

// Heartbeat returns the last heartbeat of the newest incarnation; it is zero
// if none was received.
func (i Info) Heartbeat() rock.Heartbeat { return i.heartbeat }

// HeardAt returns when the last heartbeat was received, or the zero time if none
// was.
func (i Info) HeardAt() time.Time { return i.heardAt }

// RoundTrip returns the smoothed round-trip time to the peer, or 0 if it was never
// measured.
func (i Info) RoundTrip() time.Duration { return i.roundTrip }

func (i Info) stateAt(now time.Time, l Limits) State {
	switch {
	case i.state == rock.EntryGone:
		return Gone
	case i.state == rock.EntryLeaving || i.heartbeat.Leaving():
		return Leaving
	case i.heardAt.IsZero() || now.Sub(i.heardAt) > l.SlowAfter:
		return Slow
	}
	return Alive
}
