package drive

import (
	"fmt"
	"math/rand/v2"

	rock "bramleyrock"
	"bramleyrock/core/sched"
	"bramleyrock/io/fakes/config"
)

// startEntries starts new entries in place of those that run.
func (d *drive) startEntries() {
	d.entries, d.visits = nil, nil
	for e := range d.plan.entries {
		s := d.settings
		s.Place.Zone = "a"
		s.Place.Random = rand.New(rand.NewPCG(d.seed, uint64(e)+2))
		entry := sched.New(s)
		entry.Update(d.clock(), d.fleet(e))
		d.entries = append(d.entries, entry)
		d.visits = append(d.visits, map[sched.Ticket]*visit{})
	}
}

// restartEntries replaces all entries at once; what they had is lost.
func (d *drive) restartEntries() {
	d.startEntries()
	clear(d.busy)
	d.generation++
}

// pool returns the name of the pool that serves the label.
func (d *drive) pool(label int) string {
	if d.shared {
		label = 0
	}
	return fmt.Sprint("p", label)
}

// fleet returns the configuration as an entry uses it.
func (d *drive) fleet(e int) rock.Fleet {
	var pools []rock.Pool
	var hosts []rock.Host
	for i := range d.pools {
		pools = append(pools, rock.NewPool(fmt.Sprint("p", i), "", false))
		for j := range d.hosts {
			if d.sharing == owners && j%d.plan.entries != e {
				continue
			}
			hosts = append(hosts, rock.NewHost(rock.HostSpec{Name: fmt.Sprintf("p%dh%d", i, j), Zone: "a", Pool: d.pool(i), Slots: d.slots, Open: true}))
		}
	}
	return config.New(1, pools, hosts)
}
