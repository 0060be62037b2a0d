package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	rock "bramleyrock"
)

// Fleet implements [rock.Fleet] over a set of records.
type Fleet struct {
	revision rock.Revision
	records  map[rock.Key]rock.Record
	hosts    map[string]rock.Host
	byPool   map[string][]rock.Host
}

var _ rock.Fleet = (*Fleet)(nil)

// New returns the configuration of the records at the revision.
func New(revision rock.Revision, records ...rock.Record) *Fleet {
	f := &Fleet{
		revision: revision,
		records:  map[rock.Key]rock.Record{},
		hosts:    map[string]rock.Host{},
		byPool:   map[string][]rock.Host{},
	}
	for _, r := range records {
		f.records[r.Key()] = r
	}
	for _, r := range f.Records(rock.KindHost) {
		h := host(r)
		f.hosts[h.Name()] = h
		f.byPool[h.Pool()] = append(f.byPool[h.Pool()], h)
	}
	return f
}

func host(r rock.Record) rock.Host {
	var b struct {
		Address    string
		Zone       string
		Rack       string
		Pool       string
		Generation uint64
		Slots      int
		Open       bool
	}
	if err := json.Unmarshal(r.Body(), &b); err != nil {
		return rock.Host{}
	}
	return rock.NewHost(rock.HostSpec{
		Name: r.Key().Name(), Address: b.Address, Zone: b.Zone, Rack: b.Rack, Pool: b.Pool,
		Generation: b.Generation, Slots: b.Slots, Open: b.Open,
	})
}

// Revision implements [rock.Fleet].
func (f *Fleet) Revision() rock.Revision { return f.revision }

// Pool implements [rock.Fleet].
func (f *Fleet) Pool(name string) (rock.Pool, bool) {
	r, ok := f.records[rock.NewKey(rock.KindPool, name)]
	if !ok {
		return rock.Pool{}, false
	}
	var b struct {
		Organisation string
		Spare        bool
	}
	if err := json.Unmarshal(r.Body(), &b); err != nil {
		return rock.Pool{}, false
	}
	return rock.NewPool(name, b.Organisation, b.Spare), true
}

// PoolHosts implements [rock.Fleet].
func (f *Fleet) PoolHosts(pool, zone string) []rock.Host {
	if zone == "" {
		return f.byPool[pool]
	}
	var hosts []rock.Host
	for _, h := range f.byPool[pool] {
		if h.Zone() == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// Host implements [rock.Fleet].
func (f *Fleet) Host(name string) (rock.Host, bool) {
	h, ok := f.hosts[name]
	return h, ok
}

// Quota implements [rock.Fleet]: there is no limit.
func (f *Fleet) Quota(string) int { return 0 }

// Authenticate implements [rock.Fleet]: no token is known.
func (f *Fleet) Authenticate(string) (rock.Identity, error) {
	return rock.Identity{}, rock.Fail("authenticate", "token", rock.Unauthenticated, rock.NotRun)
}

// Record implements [rock.Fleet].
func (f *Fleet) Record(key rock.Key) (rock.Record, bool) {
	r, ok := f.records[key]
	return r, ok
}

// Records implements [rock.Fleet].
func (f *Fleet) Records(kind rock.Kind) []rock.Record {
	var found []rock.Record
	for _, r := range f.records {
		if r.Key().Kind() == kind {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b rock.Record) int { return strings.Compare(a.Key().Name(), b.Key().Name()) })
	return found
}

// all returns a copy of the records.
func (f *Fleet) all() map[rock.Key]rock.Record { return maps.Clone(f.records) }
