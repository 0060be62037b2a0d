package drain

import rock "bramleyrock"

// View is an immutable index of the entries' status rows and the platform's list
// of hosts.
type View struct {
	byZone    map[string][]rock.EntryStatus
	byAddress map[string]rock.EntryStatus
	hosts     map[string]rock.HostStatus
	history   *History
}

// NewView returns a view of the given status rows and hosts. The history, which
// the view uses and updates, may be nil.
func NewView(entries []rock.EntryStatus, hosts []rock.HostStatus, history *History) View {
	v := View{
		byZone:    map[string][]rock.EntryStatus{},
		byAddress: make(map[string]rock.EntryStatus, len(entries)),
		hosts:     make(map[string]rock.HostStatus, len(hosts)),
		history:   history,
	}
	for _, e := range entries {
		m := e.Member()
		v.byZone[m.Zone()] = append(v.byZone[m.Zone()], e)
		if latest, ok := v.byAddress[m.Address()]; !ok || e.At().After(latest.At()) {
			v.byAddress[m.Address()] = e
		}
	}
	for _, h := range hosts {
		v.hosts[h.Name()] = h
	}
	return v
}

// Host returns the platform's status of the named host, and whether the platform
// lists it.
func (v View) Host(name string) (rock.HostStatus, bool) {
	h, ok := v.hosts[name]
	return h, ok
}
