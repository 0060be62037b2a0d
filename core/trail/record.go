package trail

import "slices"

// Record is what the platform's table keeps of a queue.
type Record struct {
	// Queue is the name of the queue.
	Queue string `cbor:"1,keyasint"`
	// Config is the version of the configuration's row that sent the queue to Pool.
	Config uint64 `cbor:"2,keyasint"`
	Pool   string `cbor:"3,keyasint"`
	// Former holds the pools to which the queue was sent before and which may still
	// have jobs of it.
	Former []string `cbor:"4,keyasint,omitempty"`
	// Settled is true if all copies of the record list Pool and Former.
	Settled bool `cbor:"5,keyasint,omitempty"`
}

// Lists reports whether the pool may have jobs of the queue.
func (r *Record) Lists(pool string) bool { return r.Pool == pool || slices.Contains(r.Former, pool) }

// pools returns all pools that the record lists.
func (r *Record) pools() []string {
	if r.Pool == "" {
		return nil
	}
	return append([]string{r.Pool}, r.Former...)
}

// sentTo returns the record after a configuration with the given version has sent the
// queue to a pool, and whether that changes it. A configuration that is older than the
// record changes nothing.
func (r Record) sentTo(pool string, config uint64) (Record, bool) {
	if r.Pool == pool || config < r.Config {
		return r, false
	}
	former := slices.DeleteFunc(r.pools(), func(p string) bool { return p == pool })
	r.Settled = r.Settled && len(former) == len(r.Former) // the pool was listed before
	r.Config, r.Pool, r.Former = config, pool, former
	return r, true
}

// without returns the record without a former pool.
func (r Record) without(pool string) Record {
	r.Former = slices.DeleteFunc(slices.Clone(r.Former), func(p string) bool { return p == pool })
	return r
}
