package cell

import rock "bramleyrock"

// OrderKind is the kind of an [Order].
type OrderKind string

// The kinds of orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
	OrderPace  OrderKind = "pace"
	// OrderAdvise is a question to the adviser, answered with [Cell.HandleAdvice].
	OrderAdvise OrderKind = "advise"
)

// Order is an order to a worker, which must be answered with [Cell.HandleReply],
// or a question to the adviser.
type Order struct {
	// Kind says which of Start, Stop and Pace is set, or Step and Workers.
	Kind   OrderKind
	Worker rock.Worker
	Start  rock.StartOrder
	Stop   rock.StopOrder
	Pace   rock.ThrottleOrder
	// Step and Workers are those of a question to the adviser.
	Step    string
	Workers []string
	// Reason is the reason of a stop, for the log.
	Reason string
	// Queue and Job name what the task belongs to; empty for an unknown task.
	Queue string
	Job   string

	run  *run
	step *step
}
