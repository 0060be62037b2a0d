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

// QueueSettings is the part of a queue's configuration that its accepted jobs need; see [Queue].
// It is stored with each job. If it has no attempts, it is not known.
type QueueSettings struct {
	Priority       int           `cbor:"1,keyasint,omitempty"`
	Attempts       int           `cbor:"2,keyasint,omitempty"`
	Stretch        float64       `cbor:"3,keyasint,omitempty"`
	Objective      time.Duration `cbor:"4,keyasint,omitempty"`
	RequiresTicket bool          `cbor:"5,keyasint,omitempty"`
	TicketTTL      time.Duration `cbor:"6,keyasint,omitempty"`
}

// Settings returns the settings of the queue.
func (q *Queue) Settings() QueueSettings {
	return QueueSettings{q.Priority, q.Attempts, q.Stretch, q.Objective, q.RequiresTicket, q.TicketTTL}
}

// Known reports whether the settings are known. Every configured queue allows at least one attempt.
func (s QueueSettings) Known() bool { return s.Attempts > 0 }

// Queue returns a queue with the settings, without the paths of its calls.
func (s QueueSettings) Queue(name, pool string) Queue {
	return Queue{
		Name: name, Pool: pool, Priority: s.Priority, Attempts: s.Attempts, Stretch: s.Stretch,
		Objective: s.Objective, RequiresTicket: s.RequiresTicket, TicketTTL: s.TicketTTL,
	}
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
