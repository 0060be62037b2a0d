package drive

import (
	"maps"
	"slices"
	"time"

	"bramleyrock/core/place"
)

// sharing is a way in which entries share the hosts of their zone.
type sharing string

const (
	ownCounts sharing = ""       // each counts what it has in flight itself
	gossip    sharing = "gossip" // and heeds what the others told a second ago
	owners    sharing = "owners" // each host has an owner, the only one to place on it
)

// Sharings plays a load, as a share of the slots, on so many entries of a zone
// in each way of sharing its hosts, with each of the seeds.
func Sharings(entries int, load float64, seeds ...uint64) []Sharing {
	var all []Sharing
	for _, way := range slices.Sorted(maps.Keys(ways)) {
		all = append(all, shareIn(way, entries, load, seeds))
	}
	return all
}

// shareIn plays a load in one way, with each of the seeds.
func shareIn(way string, entries int, load float64, seeds []uint64) Sharing {
	sum := Sharing{way: way}
	for _, seed := range seeds {
		p := today(seed, false)
		p.pools, p.entries, p.length = 1, entries, 60*time.Second
		p.rate = func(int, time.Duration) float64 { return load * 240 }
		if change := ways[way]; change != nil {
			change(&p)
		}
		c := newDrive(p).run()[0]
		sum.tally.waits = append(sum.tally.waits, c.waits...)
		sum.tally.offered += c.offered
		sum.tally.useful += c.useful
		sum.tally.collisions += c.collisions
	}
	return sum
}

// ways are the ways in which entries share hosts, by name.
var ways = map[string]func(p *plan){
	"own counts":                  nil,
	"own counts, random":          func(p *plan) { p.settings.Place.Policy = place.Random },
	"own counts, round-robin":     func(p *plan) { p.settings.Place.Policy = place.RoundRobin },
	"own counts, least in flight": func(p *plan) { p.settings.Place.Policy = place.LeastInFlight },
	"gossip":                      func(p *plan) { p.sharing = gossip },
	"owners":                      func(p *plan) { p.sharing = owners },
	"owners, counting":            func(p *plan) { p.sharing, p.counting = owners, true },
}
