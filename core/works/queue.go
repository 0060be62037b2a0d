package works

import (
	"strings"
	"time"
)

// Queue is a queue of jobs as configured.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a call.
	Host   string
	Prefix string
	// Pool is the pool whose workers run the queue's tasks.
	Pool string
	// Priority orders queues; 0 comes first.
	Priority int
	// Attempts is how often a task may fail before its job fails.
	Attempts int
	// Stretch times the longest chain of work, and Objective more, is the
	// time in which a job should be completed.
	Stretch   float64
	Objective time.Duration
	// RequiresTicket is true if only the placement adviser's workers may run it.
	RequiresTicket bool
	// TicketTTL is how long a ticket of the adviser is valid.
	TicketTTL time.Duration
}

// Pool is a pool of workers as configured.
type Pool struct {
	Name string
	// RejectsOverload is true if the pool's workers refuse what does not fit.
	RejectsOverload bool
	// Standby is true if the pool's hosts are off until they are moved.
	Standby bool
}

// Config is the configuration in force.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   []Pool
	// MaxBodyBytes is the greatest size of a call's body in bytes.
	MaxBodyBytes int64
}

// FindQueue returns the queue of a call to a host and path, and what follows the
// prefix. The longest prefix goes first.
func (c *Config) FindQueue(host, path string) (q Queue, rest string, ok bool) {
	for i := range c.Queues {
		o := &c.Queues[i]
		if o.Host == host && strings.HasPrefix(path, o.Prefix) && (!ok || len(o.Prefix) > len(q.Prefix)) {
			q, rest, ok = *o, path[len(o.Prefix):], true
		}
	}
	return q, rest, ok
}

// Queue returns the queue with that name.
func (c *Config) Queue(name string) (Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return c.Queues[i], true
		}
	}
	return Queue{}, false
}
