package drain

import rock "bramleyrock"

// View is what was last read of entries and hosts, indexed. It never changes.
type View struct {
	byZone    map[string][]rock.EntryStatus
	byAddress map[string]rock.EntryStatus
	hosts     map[string]rock.HostStatus
	history   *History
}

// NewView returns a view of the entries' status rows and the platform's list
// of hosts. The memory may be nil.
func NewView(entries []rock.EntryStatus, hosts []rock.HostStatus, memory *History) View {
	v := View{
		byZone:    map[string][]rock.EntryStatus{},
		byAddress: make(map[string]rock.EntryStatus, len(entries)),
		hosts:     make(map[string]rock.HostStatus, len(hosts)),
		history:   memory,
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

// Host returns the platform's line on the named host.
func (v View) Host(name string) (rock.HostStatus, bool) {
	h, ok := v.hosts[name]
	return h, ok
}
