package link

import (
	"time"

	rock "bramleyrock"
)

// beatForm is a heartbeat on the wire. The sender's identity is that of the
// handshake.
type beatForm struct {
	Revision uint64 `cbor:"1,keyasint"`
	Leaving  bool   `cbor:"2,keyasint,omitempty"`
	// Pools are the loads that changed, or all if Full is set.
	Pools []loadForm `cbor:"3,keyasint,omitempty"`
	Full  bool       `cbor:"4,keyasint,omitempty"`
	// Dropped are pools without hosts any more.
	Dropped []string `cbor:"5,keyasint,omitempty"`
	// AskFull asks for a full heartbeat in return.
	AskFull bool `cbor:"6,keyasint,omitempty"`
}

// loadForm is the load of one pool, sent as an array.
type loadForm struct {
	_        struct{} `cbor:",toarray"`
	Pool     string
	InFlight int
	Queued   int
	Slots    int
	// Wait is in milliseconds.
	Wait int64
}

func formOfBeat(h rock.Heartbeat) beatForm {
	f := beatForm{Revision: uint64(h.Revision()), Leaving: h.Leaving()}
	for _, l := range h.Pools() {
		f.Pools = append(f.Pools, loadForm{
			Pool:     l.Pool(),
			InFlight: l.InFlight(),
			Queued:   l.Queued(),
			Slots:    l.Slots(),
			Wait:     l.Wait().Milliseconds(),
		})
	}
	return f
}

func (f *beatForm) heartbeat(m rock.Member) rock.Heartbeat {
	var pools []rock.PoolLoad
	for _, l := range f.Pools {
		wait := time.Duration(l.Wait) * time.Millisecond
		pools = append(pools, rock.NewPoolLoad(l.Pool, l.InFlight, l.Queued, l.Slots, wait))
	}
	return rock.NewHeartbeat(m, rock.Revision(f.Revision), f.Leaving, pools)
}
