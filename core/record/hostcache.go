package record

import rock "bramleyrock"

// HostCache caches decoded hosts, so that each version of a record is decoded only
// once. A nil cache decodes at every call. It is not safe for concurrent use.
type HostCache struct {
	hosts map[string]cachedHost
}

// cachedHost is the result of decoding one version of a record.
type cachedHost struct {
	version uint64
	spec    HostSpec
	err     error
}

// Host returns the fields of the host in the record; see [HostSpecOf].
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
