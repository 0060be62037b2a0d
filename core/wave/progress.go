package wave

import (
	rock "bramleyrock"
	"bramleyrock/core/record"
)

// Progress counts the hosts of a wave, over all zones.
type Progress struct {
	hosts int
	done  int
	away  int
}

// ProgressOf returns the progress of the wave that the record r describes. The
// cache may be nil. It returns an error if r cannot be decoded.
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

// Done returns the number of hosts whose maintenance is done and that are open
// again or closed for another reason.
func (p Progress) Done() int { return p.done }

// Away returns the number of hosts that are closed for the wave.
func (p Progress) Away() int { return p.away }
