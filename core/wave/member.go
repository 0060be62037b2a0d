package wave

import (
	rock "bramleyrock"
	"bramleyrock/core/record"
)

// member is a host of one of a wave's pools, with its record and the decoded
// body.
type member struct {
	host   rock.Host
	record rock.Record
	body   record.HostSpec
}

// closedBy reports whether the host is closed for the wave of that name.
func (m member) closedBy(wave string) bool {
	return !m.host.Open() && m.body.ClosedBy == owner(wave)
}

// doneBy reports whether the wave of that name has finished the host's
// maintenance.
func (m member) doneBy(wave string) bool {
	return m.body.Maintenance != nil && m.body.Maintenance.Wave == wave && m.body.Maintenance.Step == record.StepDone
}

// owner returns the value of field closed_by in the records of hosts that are
// closed for the wave.
func owner(wave string) string { return rock.NewKey(rock.KindWave, wave).String() }

// members returns the hosts of the pools in the zone, or in all zones if zone
// is "". A host whose record is missing or cannot be decoded is left out.
func members(fleet rock.Fleet, cache *record.HostCache, pools []string, zone string) []member {
	var found []member
	for _, pool := range pools {
		for _, h := range fleet.PoolHosts(pool, zone) {
			r, ok := fleet.Record(rock.NewKey(rock.KindHost, h.Name()))
			if !ok {
				continue
			}
			if body, err := cache.Host(r); err == nil {
				found = append(found, member{h, r, body})
			}
		}
	}
	return found
}
