package feed

import (
	"crypto/subtle"
	"fmt"
	"maps"
	"slices"

	rock "bramleyrock"
	"bramleyrock/core/record"
)

// operatorName is the name of the operator of the whole system in the audit
// trail.
const operatorName = "operator"

// Config is a configuration: all records at one revision, with indexes. It is
// immutable and safe for concurrent use. It implements [rock.Fleet].
type Config struct {
	settings Settings
	revision rock.Revision
	byKind   map[rock.Kind]*recordList
	// pools and hosts are keyed by name.
	pools map[string]poolIndex
	hosts shards[rock.Host]
	// addresses holds the name of the host with each address.
	addresses shards[string]
	// quotas is keyed by the name of the organisation.
	quotas shards[int]
	// tokens is keyed by the digest of the token.
	tokens shards[tokenHolder]
	// decodeErrors is keyed by the key of the record.
	decodeErrors shards[error]
}

var _ rock.Fleet = (*Config)(nil)

// Revision implements [rock.Fleet].
func (c *Config) Revision() rock.Revision { return c.revision }

// Pool implements [rock.Fleet].
func (c *Config) Pool(name string) (rock.Pool, bool) {
	p, ok := c.pools[name]
	if !ok || !p.known {
		return rock.Pool{}, false
	}
	return rock.NewPool(name, p.body.Organisation(), p.body.Spare()), true
}

// PoolHosts implements [rock.Fleet]. The hosts are sorted by name.
func (c *Config) PoolHosts(pool, zone string) []rock.Host {
	p := c.pools[pool]
	if zone == "" {
		return p.hosts
	}
	return p.zones[zone]
}

// Host implements [rock.Fleet].
func (c *Config) Host(name string) (rock.Host, bool) { return c.hosts.get(name) }

// Quota implements [rock.Fleet].
func (c *Config) Quota(organisation string) int {
	n, _ := c.quotas.get(organisation)
	return n
}

// Authenticate implements [rock.Fleet]. Tokens are stored and compared only as
// digests, and the comparison takes constant time.
func (c *Config) Authenticate(token string) (rock.Identity, error) {
	digest := record.Digest(token)
	if equalDigests(digest, c.settings.BootstrapDigest) {
		return rock.NewIdentity(operatorName, "", rock.OperatorRole), nil
	}
	if h, ok := c.tokens.get(digest); ok && equalDigests(digest, h.digest) {
		return h.identity, nil
	}
	return rock.Identity{}, rock.Fail("authenticate", "", rock.Unauthenticated, rock.NotRun).
		Becausef("the bearer token is missing or unknown")
}

// equalDigests compares digests in constant time.
func equalDigests(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// Record implements [rock.Fleet].
func (c *Config) Record(key rock.Key) (rock.Record, bool) {
	l := c.byKind[key.Kind()]
	if l == nil {
		return rock.Record{}, false
	}
	return l.records.get(key.Name())
}

// Records implements [rock.Fleet].
func (c *Config) Records(kind rock.Kind) []rock.Record {
	l := c.byKind[kind]
	if l == nil {
		return nil
	}
	return l.byName()
}

// All returns all records, sorted by kind in the order of [rock.Kinds], then by
// name.
func (c *Config) All() []rock.Record {
	var all []rock.Record
	for _, k := range rock.Kinds() {
		all = append(all, c.Records(k)...)
	}
	return all
}

// DecodeErrors returns the records that this program cannot decode: the error for
// each key. Such records are kept, but have no effect.
func (c *Config) DecodeErrors() map[string]error {
	all := map[string]error{}
	c.decodeErrors.each(func(key string, err error) { all[key] = err })
	return all
}

// Apply returns the configuration after the changes. It fails if their revisions
// do not continue c's revision without a gap, or if an edit does not start from
// the current version of its record.
func (c *Config) Apply(changes ...rock.Change) (*Config, error) {
	next := c.clone()
	for _, ch := range changes {
		if ch.Revision() != next.revision+1 {
			return nil, fmt.Errorf("apply change %s: it made revision %d: want %d", ch.ID(), ch.Revision(), next.revision+1)
		}
		for _, e := range ch.Edits() {
			if err := next.apply(e); err != nil {
				return nil, fmt.Errorf("apply change %s of revision %d: %w", ch.ID(), ch.Revision(), err)
			}
		}
		next.revision = ch.Revision()
	}
	return next, nil
}

// clone returns a copy that may be changed until it is used.
func (c *Config) clone() *Config {
	next := *c
	next.byKind = maps.Clone(c.byKind)
	next.pools = maps.Clone(c.pools)
	return &next
}

// apply applies one edit to c, which must not be in use yet.
func (c *Config) apply(e rock.Edit) error {
	if err := e.Key().Check(); err != nil {
		return err
	}
	current, ok := c.Record(e.Key())
	switch from := e.From(); {
	case from == nil && ok:
		return fmt.Errorf("record %v exists already", e.Key())
	case from != nil && !ok:
		return fmt.Errorf("record %v does not exist", e.Key())
	case from != nil && from.Version() != current.Version():
		return fmt.Errorf("record %v is at version %d, not %d", e.Key(), current.Version(), from.Version())
	}
	if !ok {
		c.set(e.Key(), nil, e.To())
		return nil
	}
	c.set(e.Key(), &current, e.To())
	return nil
}

// set replaces a record and updates the indexes. A nil from or to means that there
// is no record before or after.
func (c *Config) set(key rock.Key, from, to *rock.Record) {
	l := &recordList{}
	if old := c.byKind[key.Kind()]; old != nil {
		l.records = old.records
	}
	if to == nil {
		l.records = l.records.without(key.Name())
	} else {
		l.records = l.records.with(key.Name(), *to)
	}
	c.byKind[key.Kind()] = l
	if from != nil {
		c.unindex(*from)
	}
	if to != nil {
		c.index(*to)
	}
}

// unindex removes the content of a record from the indexes.
func (c *Config) unindex(r rock.Record) {
	c.decodeErrors = c.decodeErrors.without(r.Key().String())
	name := r.Key().Name()
	b, err := c.settings.Codec.Decode(r)
	if err != nil {
		return
	}
	switch b := b.(type) {
	case record.Organisation:
		c.quotas = c.quotas.without(name)
		for _, t := range b.Tokens() {
			c.tokens = c.tokens.without(t.Digest())
		}
	case record.Pool:
		p := c.pools[name]
		p.known = false
		c.setPool(name, p)
	case record.Host:
		h := b.ToHost(name)
		c.hosts = c.hosts.without(name)
		if owner, _ := c.addresses.get(h.Address()); owner == name {
			c.addresses = c.addresses.without(h.Address())
		}
		if h.Pool() != "" {
			c.setPool(h.Pool(), c.pools[h.Pool()].without(h))
		}
	}
}

// index adds the content of a record to the indexes.
func (c *Config) index(r rock.Record) {
	name := r.Key().Name()
	b, err := c.settings.Codec.Decode(r)
	if err != nil {
		c.decodeErrors = c.decodeErrors.with(r.Key().String(), err)
		return
	}
	switch b := b.(type) {
	case record.Organisation:
		c.quotas = c.quotas.with(name, b.Quota())
		for _, t := range b.Tokens() {
			id := rock.NewIdentity(name+"/"+t.Name(), name, t.Role())
			c.tokens = c.tokens.with(t.Digest(), tokenHolder{t.Digest(), id})
		}
	case record.Pool:
		p := c.pools[name]
		p.body, p.known = b, true
		c.setPool(name, p)
	case record.Host:
		h := b.ToHost(name)
		c.hosts = c.hosts.with(name, h)
		c.addresses = c.addresses.with(h.Address(), name)
		if h.Pool() != "" {
			c.setPool(h.Pool(), c.pools[h.Pool()].with(h))
		}
	}
}

// setPool replaces a pool's index, or removes it if the pool has neither a record
// nor hosts.
func (c *Config) setPool(name string, p poolIndex) {
	if !p.known && len(p.hosts) == 0 {
		delete(c.pools, name)
		return
	}
	c.pools[name] = p
}

// PoolNames returns the names of all pools that have a record or hosts, sorted.
func (c *Config) PoolNames() []string { return slices.Sorted(maps.Keys(c.pools)) }
