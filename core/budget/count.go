package budget

import (
	"fmt"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// poolCount is how many hosts a pool has, and how many are available or away.
type poolCount struct {
	pool       string
	hosts      int
	available  int
	awayInZone map[string]int
	awayInRack map[string]int
}

func newCount(pool string) *poolCount {
	return &poolCount{pool: pool, awayInZone: map[string]int{}, awayInRack: map[string]int{}}
}

// add counts a host of the pool.
func (c *poolCount) add(zone, rack string, up bool) {
	c.hosts++
	if up {
		c.available++
		return
	}
	c.awayInZone[zone]++
	c.awayInRack[rack]++
}

// remove counts a host, available so far, as away.
func (c *poolCount) remove(h rock.Host) {
	c.available--
	c.awayInZone[h.Zone()]++
	c.awayInRack[h.Rack()]++
}

// restore takes a take back.
func (c *poolCount) restore(h rock.Host) {
	c.available++
	c.awayInZone[h.Zone()]--
	c.awayInRack[h.Rack()]--
}

// belowBudget reports whether fewer hosts are available than the budget needs.
func (c *poolCount) belowBudget(b record.Budget) bool {
	return c.available < b.MinAvailable().MinHosts(c.hosts)
}

// violation returns how the pool, from which the hosts were taken, breaks the
// budget, or nil if it does not.
func (c *poolCount) violation(b record.Budget, taken ...rock.Host) error {
	if c.belowBudget(b) {
		return fmt.Errorf("pool %s would have %d of %d hosts available: its budget needs %d",
			c.pool, c.available, c.hosts, b.MinAvailable().MinHosts(c.hosts))
	}
	for _, h := range taken {
		if n, most := c.awayInZone[h.Zone()], b.MaxAwayPerZone(); most > 0 && n > most {
			return fmt.Errorf("pool %s would have %d hosts away in zone %s: its budget allows %d", c.pool, n, h.Zone(), most)
		}
		if n, most := c.awayInRack[h.Rack()], b.MaxAwayPerRack(); most > 0 && n > most {
			return fmt.Errorf("pool %s would have %d hosts away in rack %s: its budget allows %d", c.pool, n, h.Rack(), most)
		}
	}
	return nil
}
