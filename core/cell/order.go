package cell

import rock "bramleyrock"

// OrderKind is the kind of an [Order].
type OrderKind string

// The kinds of orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
	// OrderPace sets the share of its resources that a run may use.
	OrderPace OrderKind = "pace"
	// OrderAdvise is a query to the adviser.
	OrderAdvise OrderKind = "advise"
)

// Order is an order to a worker, whose reply is passed to [Cell.HandleReply], or
// a query to the adviser, whose answer is passed to [Cell.HandleAdvice].
type Order struct {
	// Kind determines the fields that are set: Worker and one of Start, Stop and
	// Pace for an order, and Step and Workers for a query.
	Kind   OrderKind
	Worker rock.Worker
	Start  rock.StartOrder
	Stop   rock.StopOrder
	Pace   rock.ThrottleOrder
	// Step is the step about which the adviser is asked, and Workers holds the IDs
	// of the workers that may run its tasks.
	Step    string
	Workers []string
	// Reason is the reason for a stop. It is logged only.
	Reason string
	// Queue and Job are those of the task. They are empty if its job is unknown.
	Queue string
	Job   string

	run  *run
	step *step
}
