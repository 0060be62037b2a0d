package rock

import "time"

// PoolLoad is the load of one pool as known to one entry.
type PoolLoad struct {
	pool     string
	inFlight int
	queued   int
	slots    int
	wait     time.Duration
}

// NewPoolLoad returns the load of a pool: the entry's number of tasks in flight
// and requests queued, the slots of the pool's open hosts in the entry's zone,
// and the predicted wait of a new request.
func NewPoolLoad(pool string, inFlight, queued, slots int, wait time.Duration) PoolLoad {
	return PoolLoad{pool: pool, inFlight: inFlight, queued: queued, slots: slots, wait: wait}
}

// Pool returns the pool's name.
func (p PoolLoad) Pool() string { return p.pool }

// InFlight returns the number of tasks that the entry has in flight.
func (p PoolLoad) InFlight() int { return p.inFlight }

// Queued returns the number of requests in the entry's queue.
func (p PoolLoad) Queued() int { return p.queued }

// Slots returns the slots of the pool's open hosts in the entry's zone.
func (p PoolLoad) Slots() int { return p.slots }

// Wait returns the predicted time that a new request waits in the queue.
func (p PoolLoad) Wait() time.Duration { return p.wait }
