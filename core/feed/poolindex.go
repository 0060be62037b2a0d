package feed

import (
	"cmp"
	"maps"
	"slices"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// poolIndex is a pool with its hosts. It is immutable.
type poolIndex struct {
	body record.Pool
	// known is true if the pool has a record that can be decoded.
	known bool
	// hosts holds the pool's hosts, and zones its hosts by availability zone, all
	// sorted by name.
	hosts []rock.Host
	zones map[string][]rock.Host
}

// with returns a copy of p with the host added.
func (p poolIndex) with(h rock.Host) poolIndex {
	p.hosts = insertHost(p.hosts, h)
	p.zones = cloneZones(p.zones)
	p.zones[h.Zone()] = insertHost(p.zones[h.Zone()], h)
	return p
}

// without returns a copy of p with the host removed.
func (p poolIndex) without(h rock.Host) poolIndex {
	p.hosts = removeHost(p.hosts, h.Name())
	p.zones = cloneZones(p.zones)
	p.zones[h.Zone()] = removeHost(p.zones[h.Zone()], h.Name())
	if len(p.zones[h.Zone()]) == 0 {
		delete(p.zones, h.Zone())
	}
	return p
}

// cloneZones returns a copy of zones that may be modified, also if zones is nil.
func cloneZones(zones map[string][]rock.Host) map[string][]rock.Host {
	if zones == nil {
		return map[string][]rock.Host{}
	}
	return maps.Clone(zones)
}

// slots returns the sum of the hosts' slots.
func (p poolIndex) slots() int {
	sum := 0
	for _, h := range p.hosts {
		sum += h.Slots()
	}
	return sum
}

// findHost returns the index at which the named host is, or would be inserted, in
// hosts sorted by name, and whether it is present.
func findHost(hosts []rock.Host, name string) (int, bool) {
	return slices.BinarySearchFunc(hosts, name, func(h rock.Host, name string) int {
		return cmp.Compare(h.Name(), name)
	})
}

// insertHost returns a copy of the sorted hosts with h inserted.
func insertHost(hosts []rock.Host, h rock.Host) []rock.Host {
	i, _ := findHost(hosts, h.Name())
	next := make([]rock.Host, 0, len(hosts)+1)
	next = append(next, hosts[:i]...)
	next = append(next, h)
	return append(next, hosts[i:]...)
}

// removeHost returns the sorted hosts without the named one. It does not modify
// hosts.
func removeHost(hosts []rock.Host, name string) []rock.Host {
	i, ok := findHost(hosts, name)
	if !ok {
		return hosts
	}
	next := make([]rock.Host, 0, len(hosts))
	next = append(next, hosts[:i]...)
	return append(next, hosts[i+1:]...)
}
