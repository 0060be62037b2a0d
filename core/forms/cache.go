package forms

import rock "bramleyrock"

// Cache keeps the bodies of host records, so that a record is decoded once for
// each of its versions. A nil cache decodes every time. It is not safe for
// concurrent use.
type Cache struct {
	hosts map[string]cached
}

// cached is the body of one version of a record.
type cached struct {
	version uint64
	host    Host
	err     error
}

// Host returns the body of a host record; see [DecodeHost].
func (c *Cache) Host(r rock.Record) (Host, error) {
	if c == nil {
		return DecodeHost(r)
	}
	name := r.Key().Name()
	if known, ok := c.hosts[name]; ok && known.version == r.Version() {
		return known.host, known.err
	}
	if c.hosts == nil {
		c.hosts = map[string]cached{}
	}
	h, err := DecodeHost(r)
	c.hosts[name] = cached{r.Version(), h, err}
	return h, err
}
