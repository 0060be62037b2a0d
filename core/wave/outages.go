package wave

import (
	"fmt"

	rock "bramleyrock"
	"bramleyrock/core/drain"
)

// If at least this many hosts of one rack or zone are down at the same time, the
// wave closes no further hosts of the pools that have lost hosts there.
const (
	correlatedInRack = 2
	correlatedInZone = 3
)

// outages counts the hosts that are down for another reason than a change of
// this system.
type outages struct {
	racks map[string]int // by "ZONE/RACK"
	zones map[string]int
	// pools lists, for each pool, the rack and zone of each host that is down.
	pools map[string][]domain
}

// domain is the place of a host: its zone and its rack.
type domain struct {
	zone, rack string
}

// findOutages counts the hosts of the pools that are unexpectedly down, in all
// zones.
func findOutages(fleet rock.Fleet, pools []string, view drain.View) outages {
	o := outages{racks: map[string]int{}, zones: map[string]int{}, pools: map[string][]domain{}}
	for _, pool := range pools {
		for _, h := range fleet.PoolHosts(pool, "") {
			if s, ok := view.Host(h.Name()); ok && unexpectedlyDown(h, s) {
				o.zones[h.Zone()]++
				o.racks[h.Zone()+"/"+h.Rack()]++
				o.pools[pool] = append(o.pools[pool], domain{h.Zone(), h.Rack()})
			}
		}
	}
	return o
}

// unexpectedlyDown reports whether the host is down for another reason than a
// reboot by a wave: such a host is closed and listed as rebooting.
func unexpectedlyDown(h rock.Host, s rock.HostStatus) bool {
	return s.State() == rock.HostGone || h.Open() && s.State() != rock.HostLive
}

// blockReason returns why no further host of the pool may be closed, or "".
func (o outages) blockReason(pool string) string {
	for _, d := range o.pools[pool] {
		if n := o.racks[d.zone+"/"+d.rack]; n >= correlatedInRack {
			return fmt.Sprintf("%d hosts that are down in rack %s of zone %s", n, d.rack, d.zone)
		}
		if n := o.zones[d.zone]; n >= correlatedInZone {
			return fmt.Sprintf("%d hosts that are down in zone %s", n, d.zone)
		}
	}
	return ""
}
