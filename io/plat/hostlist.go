package plat

import (
	"time"

	rock "bramleyrock"
)

// HostJSON is the JSON form of a host's status.
type HostJSON struct {
	Name   string         `json:"name"`
	State  rock.HostState `json:"state"`
	Leases int            `json:"leases"`
	Boots  uint64         `json:"boots"`
	AsOf   time.Time      `json:"as_of"`
}

// HostListJSON is the JSON form of the host list.
type HostListJSON struct {
	Hosts []HostJSON `json:"hosts"`
}

// FromHosts returns the JSON form of a host list.
func FromHosts(list []rock.HostStatus) HostListJSON {
	forms := make([]HostJSON, len(list))
	for i, h := range list {
		forms[i] = HostJSON{h.Name(), h.State(), h.Leases(), h.Boots(), h.AsOf()}
	}
	return HostListJSON{forms}
}

// List returns the host list.
func (h HostListJSON) List() []rock.HostStatus {
	list := make([]rock.HostStatus, len(h.Hosts))
	for i, l := range h.Hosts {
		list[i] = rock.NewHostStatus(l.Name, l.State, l.Leases, l.Boots, l.AsOf)
	}
	return list
}
