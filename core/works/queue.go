package works

import (
	"strings"
	"time"
)

// Queue is a queue of jobs as configured.
type Queue struct {
	Name string
	// Host and Prefix are the HTTP host and path prefix of the calls that
	// submit to the queue.
	Host   string
	Prefix string
	// Pool is the pool whose workers run the queue's tasks.
	Pool string
	// Priority orders the queues; jobs of the lowest number go first.
	Priority int
	// Attempts is how often a task may fail before its job fails.
	Attempts int
	// Stretch and Objective define the time in which a job should be completed:
	// the duration of its critical path times Stretch, plus Objective.
	Stretch   float64
	Objective time.Duration
	// RequiresTicket is true if a task needs a ticket of the placement adviser
	// for the worker that runs it.
	RequiresTicket bool
	// TicketTTL is how long a ticket is valid.
	TicketTTL time.Duration
}

// Pool is a pool of workers as configured.
type Pool struct {
	Name string
	// RejectsOverload is true if the pool's workers refuse tasks that exceed
	// their free resources.
	RejectsOverload bool
	// Standby is true if the pool's hosts are powered off until they are moved
	// to another pool.
	Standby bool
}

// Config is the configuration of queues and worker pools in force.
type Config struct {
	// Version is the version that the platform gave the configuration.
	Version int64
	Queues  []Queue
	Pools   []Pool
	// MaxBodyBytes is the maximum size of a call's body.
	MaxBodyBytes int64
}

// FindQueue returns the queue that serves a call to the HTTP host and path, and
// the part of the path after the queue's prefix. If several prefixes match, the
// longest wins. It returns false if there is none.
func (c *Config) FindQueue(host, path string) (q Queue, rest string, ok bool) {
	for i := range c.Queues {
		o := &c.Queues[i]
		if o.Host == host && strings.HasPrefix(path, o.Prefix) && (!ok || len(o.Prefix) > len(q.Prefix)) {
			q, rest, ok = *o, path[len(o.Prefix):], true
		}
	}
	return q, rest, ok
}

// Queue returns the queue with that name, and false if there is none.
func (c *Config) Queue(name string) (Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return c.Queues[i], true
		}
	}
	return Queue{}, false
}
