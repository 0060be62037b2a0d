package drive

import (
	"fmt"
	"time"

	rock "bramleyrock"
)

// tell lets all entries tell each other their loads, once a second.
func (d *drive) tell() {
	if d.sharing == ownCounts || d.now > d.length+d.timeout {
		return
	}
	d.told = d.clock()
	d.heard = nil
	for _, entry := range d.entries {
		loads := map[string]rock.PoolLoad{}
		for label := range d.pools {
			loads[d.pool(label)] = entry.Load(d.pool(label), rock.Normal)
		}
		d.heard = append(d.heard, loads)
	}
	d.at(d.now+time.Second, d.tell)
}

// route returns the entry that queues a request which arrived at entry e.
func (d *drive) route(e int, pool string) int {
	if d.sharing != owners {
		return e
	}
	best, least := e, d.entries[e].Load(pool, rock.Normal).Wait()
	for other, loads := range d.heard {
		wait := loads[pool].Wait() + roundTrip
		if d.counting {
			wait = d.handed[e].PredictedWait(fmt.Sprint(other), d.told, loads[pool], d.service) + roundTrip
		}
		if other != e && wait < least {
			best, least = other, wait
		}
	}
	d.handed[e].Add(fmt.Sprint(best), d.told, pool)
	return best
}

// crowded reports whether the others are believed to hold the pool's last
// slots.
func (d *drive) crowded(e int, pool string) bool {
	if d.sharing != gossip {
		return false
	}
	load := d.entries[e].Load(pool, rock.Normal)
	taken := load.InFlight()
	for other, loads := range d.heard {
		if other != e {
			taken += loads[pool].InFlight()
		}
	}
	return taken >= load.Slots()
}
