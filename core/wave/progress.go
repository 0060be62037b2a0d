package wave

import (
	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Progress is how far a wave is.
type Progress struct {
	hosts int
	done  int
	away  int
}

// ProgressOf returns how far the wave in the record r is. The cache may be nil.
func ProgressOf(fleet rock.Fleet, cache *record.HostCache, r rock.Record) (Progress, error) {
	w, err := record.WaveSpecOf(r)
	if err != nil {
		return Progress{}, err
	}
	var p Progress
	name := r.Key().Name()
	for _, m := range members(fleet, cache, w.Pools, "") {
		p.hosts++
		switch {
		case m.closedBy(name):
			p.away++
		case m.doneBy(name):
			p.done++
		}
	}
	return p, nil
}

// Hosts returns the number of hosts of the wave's pools.
func (p Progress) Hosts() int { return p.hosts }

// Done returns the number of hosts that were maintained and are open.
func (p Progress) Done() int { return p.done }

// Away returns the number of hosts that the wave holds closed.
func (p Progress) Away() int { return p.away }
