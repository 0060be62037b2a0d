package sched

import rock "bramleyrock"

// Grant is the permission to run one request on one host. It must be returned by
// [Scheduler.Finish].
type Grant struct {
	ticket  Ticket
	request rock.Request
	host    rock.Host
}

// Ticket returns the ticket of the request.
func (g Grant) Ticket() Ticket { return g.ticket }

// Request returns the request.
func (g Grant) Request() rock.Request { return g.request }

// Host returns the host on which the request may run.
func (g Grant) Host() rock.Host { return g.host }
