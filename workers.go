package rock

import (
	"context"
	"time"
)

// Workers sends orders to workers. An error carries a verdict: with [NotRun]
// the order has had and will have no effect; with [MayHaveRun] it may take
// effect even seconds later. The refusal of an order by the worker is not an
// error, but a field of the reply.
type Workers interface {
	// Start starts one run of a task.
	Start(ctx context.Context, w Worker, o StartOrder) (Reply, error)
	// Stop ends a run. If the start of the run arrives after the stop, the worker
	// refuses it.
	Stop(ctx context.Context, w Worker, o StopOrder) (Reply, error)
	// RenewLease extends the lease of all runs on the worker and returns the
	// current and the ended runs.
	RenewLease(ctx context.Context, w Worker, o RenewOrder) (Report, error)
	// Throttle limits a run to a percentage of its resources.
	Throttle(ctx context.Context, w Worker, o ThrottleOrder) (Reply, error)
}

// StartOrder starts one run of a task.
type StartOrder struct {
	// Task is the name of the task.
	Task string
	// Run is the number of the run, which grows with every start of the task.
	Run int64
	// Payload is the job's payload, as its caller sent it.
	Payload string
	// LeaseUntil is the end of the lease, as a time on the worker's clock.
	LeaseUntil time.Duration
	// Fence is the fencing token of the owner of the worker's cell. A worker
	// refuses orders with a lower token than it has seen.
	Fence uint64
	// Checkpoint is the checkpoint to resume from, or "".
	Checkpoint string
	// Ticket is the ticket of the placement adviser, or "" if none is required.
	Ticket string
}

// StopOrder ends one run of a task. Its fields are as in [StartOrder].
type StopOrder struct {
	Task  string
	Run   int64
	Fence uint64
}

// ThrottleOrder limits one run of a task to Percent of its resources, from 0 to
// 100. The other fields are as in [StartOrder].
type ThrottleOrder struct {
	Task    string
	Run     int64
	Percent int
	Fence   uint64
}

// RenewOrder extends the lease of all runs on a worker.
type RenewOrder struct {
	// LeaseUntil is the new end of the lease, as a time on the worker's clock; 0
	// requests a report without extending the lease.
	LeaseUntil time.Duration
	// Fence is the fencing token; see [StartOrder].
	Fence uint64
	// AckedUpTo is the highest [End.Number] that the owner has stored. The worker
	// does not report ends up to it again.
	AckedUpTo int64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// Refusal is the reason why a worker refused an order.
type Refusal string

// The refusals. The empty one means that the order was accepted.
const (
	Accepted Refusal = ""
	// RefusedFence means that the worker has seen a higher fencing token.
	RefusedFence Refusal = "fence"
	// RefusedStaleRun means that this run or a later one of the task has ended or
	// was stopped.
	RefusedStaleRun Refusal = "old"
	// RefusedLeaseExpired means that the lease in the order has expired on the
	// worker's clock.
	RefusedLeaseExpired Refusal = "late"
	// RefusedCapacity means that the worker has too few free resources.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that the ticket is missing or no longer valid.
	RefusedTicket Refusal = "ticket"
	// RefusedIdentity means that another worker answers at the address.
	RefusedIdentity Refusal = "identity"
	// RefusedBusy means that the worker is overloaded.
	RefusedBusy Refusal = "busy"
	// RefusedOther stands for every reason that this program does not know.
	RefusedOther Refusal = "other"
)

// Reply is a worker's answer to an order.
type Reply struct {
	// Refusal is the reason why the order was refused, or [Accepted].
	Refusal Refusal
	// Clock is the time on the worker's monotonic clock, or 0 if unknown.
	Clock time.Duration
}

// Run is one run of a task on a worker.
type Run struct {
	// Task is the name of the task.
	Task string
	// Run is the number of the run.
	Run int64
	// Checkpoint is the latest checkpoint, or "".
	Checkpoint string
	// Percent is the percentage of its resources that the run may use.
	Percent int
	// Metric is a rough measurement of the last half second: for a task that
	// serves requests, the tail of its response times in milliseconds; for any
	// other task, the milli-cores in use.
	Metric float64
}

// EndReason is the reason why a run ended, as reported by the worker.
type EndReason string

// The reasons, as defined by the platform. After every reason but EndDone and
// EndFailed, the task is started again and no failure is counted.
const (
	// EndDone means that the task is done.
	EndDone EndReason = "done"
	// EndFailed means that the task failed.
	EndFailed EndReason = "failed"
	// EndStopped means that the run was stopped by a [StopOrder].
	EndStopped EndReason = "stopped"
	// EndLeaseExpired means that the worker's lease expired.
	EndLeaseExpired EndReason = "lapsed"
	EndBroken       EndReason = "broken"
	EndAlone        EndReason = "alone"
)

// End is the end of a run.
type End struct {
	// Number counts the ends on the worker from 1. It starts again when the
	// worker's process restarts.
	Number int64
	// Task is the name of the task.
	Task string
	// Run is the number of the run.
	Run    int64
	Reason EndReason
	// Checkpoint is the latest checkpoint, or "".
	Checkpoint string
}

// Report lists the current and the ended runs on a worker.
type Report struct {
	// Refusal is the reason why the order was refused, or [Accepted]. If the order
	// was refused, the lists below are not valid.
	Refusal Refusal
	// Clock is the time on the worker's monotonic clock, or 0 if unknown.
	Clock time.Duration
	// WorkerStartedAt is the time at which the worker's process started, or zero
	// if unknown.
	WorkerStartedAt time.Time
	// Running lists the current runs.
	Running []Run
	// Ended lists the ends with numbers greater than [RenewOrder.AckedUpTo] in
	// order, at most [MaxEnds] of them.
	Ended []End
}

// MaxEnds is the maximum number of ends in a report.
const MaxEnds = 500
