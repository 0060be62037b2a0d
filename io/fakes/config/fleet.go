package config

import (
	"cmp"
	"slices"

	rock "bramleyrock"
)

// Fleet is a configuration with pools and hosts. It implements [rock.Fleet].
type Fleet struct {
	revision rock.Revision
	pools    map[string]rock.Pool
	hosts    map[string]rock.Host
	groups   map[[2]string][]rock.Host
	quotas   map[string]int
	tokens   map[string]rock.Identity
}

// New returns a configuration of that revision.
func New(revision rock.Revision, pools []rock.Pool, hosts []rock.Host) *Fleet {
	f := &Fleet{
		revision: revision,
		pools:    map[string]rock.Pool{},
		hosts:    map[string]rock.Host{},
		groups:   map[[2]string][]rock.Host{},
		quotas:   map[string]int{},
		tokens:   map[string]rock.Identity{},
	}
	for _, p := range pools {
		f.pools[p.Name()] = p
	}
	for _, h := range hosts {
		f.hosts[h.Name()] = h
		for _, zone := range []string{"", h.Zone()} {
			k := [2]string{h.Pool(), zone}
			f.groups[k] = append(f.groups[k], h)
		}
	}
	return f
}

// Limit sets the quota of an organisation.
func (f *Fleet) Limit(organisation string, quota int) { f.quotas[organisation] = quota }

// Admit sets who holds a token.
func (f *Fleet) Admit(token string, id rock.Identity) { f.tokens[token] = id }

// Revision implements [rock.Fleet].
func (f *Fleet) Revision() rock.Revision { return f.revision }

// Pool implements [rock.Fleet].
func (f *Fleet) Pool(name string) (rock.Pool, bool) {
	p, ok := f.pools[name]
	return p, ok
}

// PoolHosts implements [rock.Fleet].
func (f *Fleet) PoolHosts(pool, zone string) []rock.Host { return f.groups[[2]string{pool, zone}] }

// Host implements [rock.Fleet].
func (f *Fleet) Host(name string) (rock.Host, bool) {
	h, ok := f.hosts[name]
	return h, ok
}

// Quota implements [rock.Fleet].
func (f *Fleet) Quota(organisation string) int { return f.quotas[organisation] }

// Authenticate implements [rock.Fleet].
func (f *Fleet) Authenticate(token string) (rock.Identity, error) {
	id, ok := f.tokens[token]
	if !ok {
		return rock.Identity{}, rock.Fail("authenticate", "token", rock.Unauthenticated, rock.NotRun)
	}
	return id, nil
}

// Record implements [rock.Fleet]. The records of pools have an empty body.
func (f *Fleet) Record(key rock.Key) (rock.Record, bool) {
	_, ok := f.pools[key.Name()]
	if key.Kind() != rock.KindPool || !ok {
		return rock.Record{}, false
	}
	return rock.NewRecord(key, 1, 1, nil), true
}

// Records implements [rock.Fleet]; see [Fleet.Record].
func (f *Fleet) Records(kind rock.Kind) []rock.Record {
	if kind != rock.KindPool {
		return nil
	}
	var records []rock.Record
	for name := range f.pools {
		records = append(records, rock.NewRecord(rock.NewKey(kind, name), 1, 1, nil))
	}
	slices.SortFunc(records, func(a, b rock.Record) int { return cmp.Compare(a.Key().Name(), b.Key().Name()) })
	return records
}
