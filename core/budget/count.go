package budget

import (
	"fmt"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// poolCount counts the hosts of a pool, and how many of them are available or
// away.
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

// add counts a host of the pool as available or away.
func (c *poolCount) add(zone, rack string, available bool) {
	c.hosts++
	if available {
		c.available++
		return
	}
	c.awayInZone[zone]++
	c.awayInRack[rack]++
}

// remove counts a host as away that was counted as available.
func (c *poolCount) remove(h rock.Host) {
	c.available--
	c.awayInZone[h.Zone()]++
	c.awayInRack[h.Rack()]++
}

// restore undoes [poolCount.remove].
func (c *poolCount) restore(h rock.Host) {
	c.available++
	c.awayInZone[h.Zone()]--
	c.awayInRack[h.Rack()]--
}

// belowBudget reports whether fewer hosts are available than the budget needs.
func (c *poolCount) belowBudget(b record.Budget) bool {
	return c.available < b.MinAvailable().MinHosts(c.hosts)
}

// violation returns an error that says how the counts violate the budget, or nil
// if they do not. The limits of zones and racks are checked only where the hosts
// in removed are.
func (c *poolCount) violation(b record.Budget, removed ...rock.Host) error {
	if c.belowBudget(b) {
		return fmt.Errorf("pool %s would have %d of %d hosts available: its budget needs %d",
			c.pool, c.available, c.hosts, b.MinAvailable().MinHosts(c.hosts))
	}
	for _, h := range removed {
		if n, limit := c.awayInZone[h.Zone()], b.MaxAwayPerZone(); limit > 0 && n > limit {
			return fmt.Errorf("pool %s would have %d hosts away in zone %s: its budget allows %d", c.pool, n, h.Zone(), limit)
		}
		if n, limit := c.awayInRack[h.Rack()], b.MaxAwayPerRack(); limit > 0 && n > limit {
			return fmt.Errorf("pool %s would have %d hosts away in rack %s: its budget allows %d", c.pool, n, h.Rack(), limit)
		}
	}
	return nil
}
