package wave

import (
	"fmt"

	rock "bramleyrock"
	"bramleyrock/core/drain"
)

// correlatedLosses is the number of hosts of one rack or zone whose loss at the
// same time holds the pools that have hosts there.
const (
	correlatedInRack = 2
	correlatedInZone = 3
)

// outages is the hosts that are down without an act of ours.
type outages struct {
	racks map[string]int
	zones map[string]int
	// pools gives the domains in which each pool lost hosts.
	pools map[string][]domain
}

// domain is a rack or a zone.
type domain struct {
	zone, rack string
}

// findOutages finds the hosts of the pools that are down in any zone.
func findOutages(fleet rock.Fleet, pools []string, view drain.View) outages {
	t := outages{racks: map[string]int{}, zones: map[string]int{}, pools: map[string][]domain{}}
	for _, pool := range pools {
		for _, h := range fleet.PoolHosts(pool, "") {
			if s, ok := view.Host(h.Name()); ok && unexpectedlyDown(h, s) {
				t.zones[h.Zone()]++
				t.racks[h.Zone()+"/"+h.Rack()]++
				t.pools[pool] = append(t.pools[pool], domain{h.Zone(), h.Rack()})
			}
		}
	}
	return t
}

// unexpectedlyDown reports whether the host is down without an act of ours: a host that a
// wave restarts is closed and rebooting.
func unexpectedlyDown(h rock.Host, s rock.HostStatus) bool {
	return s.State() == rock.HostGone || h.Open() && s.State() != rock.HostLive
}

// blockReason returns why no further host of the pool is taken, or "".
func (t outages) blockReason(pool string) string {
	for _, d := range t.pools[pool] {
		if n := t.racks[d.zone+"/"+d.rack]; n >= correlatedInRack {
			return fmt.Sprintf("%d hosts that are down in rack %s of zone %s", n, d.rack, d.zone)
		}
		if n := t.zones[d.zone]; n >= correlatedInZone {
			return fmt.Sprintf("%d hosts that are down in zone %s", n, d.zone)
		}
	}
	return ""
}
