package depot

import (
	"time"

	rock "bramleyrock"
)

// host is a host as the platform knows it.
type host struct {
	name     string
	address  string
	drained  bool
	gone     bool
	rebootID map[string]bool
	backAt   time.Time
	boots    uint64
	leases   int
	lines    []rock.HostStatus
	// seen tells that told holds the line that was told last. The numbers are
	// of the last change of each aspect.
	seen   bool
	told   rock.HostStatus
	states uint64
	leased uint64
}

// settle ends a reboot whose time is over.
func (h *host) settle(now time.Time) {
	if h.backAt.IsZero() || now.Before(h.backAt) {
		return
	}
	at := h.backAt
	h.backAt = time.Time{}
	h.boots++
	h.drained = false
	h.note(at)
}

// state returns the true state.
func (h *host) state() rock.HostState {
	switch {
	case h.gone:
		return rock.HostGone
	case !h.backAt.IsZero():
		return rock.HostRebooting
	case h.drained:
		return rock.HostLeaving
	}
	return rock.HostLive
}

// note keeps the true state for the lagging list.
func (h *host) note(at time.Time) {
	h.lines = append(h.lines, rock.NewHostStatus(h.name, h.state(), h.leases, h.boots, at))
}

// line returns the newest line that is not younger than the time, and forgets
// the older ones.
func (h *host) line(until time.Time) rock.HostStatus {
	i := 0
	for i+1 < len(h.lines) && !h.lines[i+1].AsOf().After(until) {
		i++
	}
	h.lines = h.lines[i:]
	s := h.lines[0]
	at := until
	if s.AsOf().After(until) {
		at = s.AsOf()
	}
	return rock.NewHostStatus(s.Name(), s.State(), s.Leases(), s.Boots(), at)
}
