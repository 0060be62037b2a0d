package cell

import rock "bramleyrock"

// OrderKind is the kind of an [Order].
type OrderKind string

// The kinds of orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
)

// Order is an order to a worker. It must be answered with [Cell.Answered].
type Order struct {
	// Kind says which of Start and Stop is set.
	Kind   OrderKind
	Worker rock.Worker
	Start  rock.StartOrder
	Stop   rock.StopOrder
	// Why is the reason of a stop, for the log.
	Why string
	// Queue and Job name what the task belongs to; empty for an unknown task.
	Queue string
	Job   string

	run *run
}
