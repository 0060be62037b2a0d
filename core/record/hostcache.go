package record

import rock "bramleyrock"

// HostCache keeps the parts of hosts, so that a record is decoded once for each
// of its versions. A nil cache decodes every time. It is not safe for
// concurrent use.
type HostCache struct {
	hosts map[string]cachedHost
}

// cachedHost is the parts of one version of a record.
type cachedHost struct {
	version uint64
	spec    HostSpec
	err     error
}

// Host returns the parts of the host in the record; see [HostSpecOf].
func (c *HostCache) Host(r rock.Record) (HostSpec, error) {
	if c == nil {
		return HostSpecOf(r)
	}
	name := r.Key().Name()
	if known, ok := c.hosts[name]; ok && known.version == r.Version() {
		return known.spec, known.err
	}
	if c.hosts == nil {
		c.hosts = map[string]cachedHost{}
	}
	h, err := HostSpecOf(r)
	c.hosts[name] = cachedHost{r.Version(), h, err}
	return h, err
}
