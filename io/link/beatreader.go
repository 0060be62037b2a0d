package link

import (
	"cmp"
	"maps"
	"slices"

	rock "bramleyrock"
)

// beatReader decodes the heartbeats that come one way over one connection. The
// zero value is ready to use; it is not safe for concurrent use.
type beatReader struct {
	last  uint64 // id of the newest heartbeat read
	known map[string]loadForm
}

// decode returns the heartbeat that the call with that id brought, and false
// if a newer one was read before.
func (b *beatReader) decode(id uint64, f beatForm, m rock.Member) (rock.Heartbeat, bool) {
	if id <= b.last {
		return rock.Heartbeat{}, false
	}
	b.last = id
	if f.Full || b.known == nil {
		b.known = map[string]loadForm{}
	}
	for _, l := range f.Pools {
		b.known[l.Pool] = l
	}
	for _, pool := range f.Dropped {
		delete(b.known, pool)
	}
	f.Pools = slices.SortedFunc(maps.Values(b.known), func(x, y loadForm) int { return cmp.Compare(x.Pool, y.Pool) })
	return f.heartbeat(m), true
}
