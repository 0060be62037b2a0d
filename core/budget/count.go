package budget

import (
	"fmt"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// count is how many hosts a pool has, and how many are available or away.
type count struct {
	pool       string
	hosts      int
	available  int
	awayInZone map[string]int
	awayInRack map[string]int
}

func newCount(pool string) *count {
	return &count{pool: pool, awayInZone: map[string]int{}, awayInRack: map[string]int{}}
}

// add counts a host of the pool.
func (c *count) add(zone, rack string, up bool) {
	c.hosts++
	if up {
		c.available++
		return
	}
	c.awayInZone[zone]++
	c.awayInRack[rack]++
}

// take counts a host, available so far, as away.
func (c *count) take(h rock.Host) {
	c.available--
	c.awayInZone[h.Zone()]++
	c.awayInRack[h.Rack()]++
}

// give takes a take back.
func (c *count) give(h rock.Host) {
	c.available++
	c.awayInZone[h.Zone()]--
	c.awayInRack[h.Rack()]--
}

// short reports whether fewer hosts are available than the budget needs.
func (c *count) short(b record.Budget) bool { return c.available < b.MinAvailable().MinHosts(c.hosts) }

// breach returns how the pool, from which the hosts were taken, breaks the
// budget, or nil if it does not.
func (c *count) breach(b record.Budget, taken ...rock.Host) error {
	if c.short(b) {
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
