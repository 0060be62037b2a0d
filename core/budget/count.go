package budget

import rock "bramleyrock"

// count is how many hosts a pool has, and how many are available or away.
type count struct {
	hosts      int
	available  int
	awayInZone map[string]int
	awayInRack map[string]int
}

// count counts the pool's hosts after the change.
func (l *ledger) count(pool string) count {
	c := count{awayInZone: map[string]int{}, awayInRack: map[string]int{}}
	for _, h := range l.before.PoolHosts(pool, "") {
		if _, edited := l.after[h.Name()]; !edited {
			c.add(h.Zone(), h.Rack(), l.up(h.Name(), h.Open()))
		}
	}
	for name, h := range l.after {
		if h != nil && h.Pool == pool {
			c.add(h.Zone, h.Rack, l.up(name, h.Open))
		}
	}
	return c
}

// up reports whether a host of that name is available.
func (l *ledger) up(name string, open bool) bool {
	return open && l.states[name] == rock.HostLive
}

func (c *count) add(zone, rack string, up bool) {
	c.hosts++
	if up {
		c.available++
		return
	}
	c.awayInZone[zone]++
	c.awayInRack[rack]++
}
