package trail

import (
	"slices"

	"bramleyrock/core/works"
)

// Record is what the platform's table keeps of a queue.
type Record struct {
	// Queue is the name of the queue.
	Queue string `cbor:"1,keyasint"`
	// Config is the version of the row of the configuration that sent the queue to Pool and
	// gave it Settings.
	Config uint64 `cbor:"2,keyasint"`
	Pool   string `cbor:"3,keyasint"`
	// Former holds the pools to which the queue was sent before and which may still
	// have jobs of it.
	Former []string `cbor:"4,keyasint,omitempty"`
	// Settled is true if all copies of the record list Pool and Former.
	Settled bool `cbor:"5,keyasint,omitempty"`
	// Settings holds what jobs that were stored without settings need to know of the queue once
	// it is no longer configured.
	Settings works.QueueSettings `cbor:"6,keyasint"`
}

// queue returns the queue as it was last configured, without the paths of its calls.
func (r *Record) queue() works.Queue { return r.Settings.Queue(r.Queue, r.Pool) }

// Lists reports whether the pool may have jobs of the queue.
func (r *Record) Lists(pool string) bool { return r.Pool == pool || slices.Contains(r.Former, pool) }

// Pools returns all pools that the record lists.
func (r *Record) Pools() []string {
	if r.Pool == "" {
		return nil
	}
	return append([]string{r.Pool}, r.Former...)
}

// configured returns the record after a configuration with the given version, in which the
// queue is q, and whether that changes it. A configuration that is older than the record
// changes nothing.
func (r Record) configured(q *works.Queue, config uint64) (Record, bool) {
	settings := q.Settings()
	if config < r.Config || r.Pool == q.Pool && r.Settings == settings {
		return r, false
	}
	if r.Pool != q.Pool {
		former := slices.DeleteFunc(r.Pools(), func(p string) bool { return p == q.Pool })
		r.Settled = r.Settled && len(former) == len(r.Former) // the pool was listed before
		r.Pool, r.Former = q.Pool, former
	}
	r.Config, r.Settings = config, settings
	return r, true
}

// without returns the record without a former pool.
func (r Record) without(pool string) Record {
	r.Former = slices.DeleteFunc(slices.Clone(r.Former), func(p string) bool { return p == pool })
	return r
}
