package rock

import (
	"context"
	"time"
)

// Workers gives orders to workers. An error carries a verdict: with [NotRun]
// the order has had and will have no effect; with [MayHaveRun] it may take
// effect even seconds later. A worker that did not take an order says so in
// the reply, which is no error.
type Workers interface {
	// Start starts one run of a task.
	Start(ctx context.Context, w Worker, o StartOrder) (Reply, error)
	// Stop ends a run. A run that has not arrived yet never starts.
	Stop(ctx context.Context, w Worker, o StopOrder) (Reply, error)
	// RenewLease extends the lease on everything that runs on the worker and
	// returns what runs and what has ended.
	RenewLease(ctx context.Context, w Worker, o RenewOrder) (Report, error)
	// Throttle limits a run to a share of its resources.
	Throttle(ctx context.Context, w Worker, o ThrottleOrder) (Reply, error)
}

// StartOrder starts one run of a task.
type StartOrder struct {
	// Task is the name of the task.
	Task string
	// Run numbers the starts of the task.
	Run int64
	// Payload is the job's payload, as its caller sent it.
	Payload string
	// LeaseUntil is the end of the lease on the worker's clock.
	LeaseUntil time.Duration
	// Fence is the owner's epoch; workers refuse a lower one.
	Fence uint64
	// Checkpoint is the saved state to resume from, or "".
	Checkpoint string
	// Ticket is the permission of the pool's placement adviser, or "".
	Ticket string
}

// StopOrder ends one run of a task.
type StopOrder struct {
	Task  string
	Run   int64
	Fence uint64
}

// ThrottleOrder limits one run of a task to a percentage of its resources.
type ThrottleOrder struct {
	Task    string
	Run     int64
	Percent int
	Fence   uint64
}

// RenewOrder extends the lease on everything that runs on a worker.
type RenewOrder struct {
	// LeaseUntil is the end of the lease on the worker's clock, or 0 for none.
	LeaseUntil time.Duration
	// Fence is the owner's epoch.
	Fence uint64
	// AckedUpTo is the number of the last end that is stored.
	AckedUpTo int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Refusal is why a worker did not take an order.
type Refusal string

// The refusals. The empty one means that the order was taken.
const (
	Accepted            Refusal = ""
	RefusedFence        Refusal = "fence"
	RefusedStaleRun     Refusal = "old"
	RefusedLeaseExpired Refusal = "late"
	RefusedCapacity     Refusal = "room"
	RefusedTicket       Refusal = "ticket"
	RefusedIdentity     Refusal = "identity"
	RefusedBusy         Refusal = "busy"
	RefusedOther        Refusal = "other"
)

// Reply is a worker's answer to an order.
type Reply struct {
	// Refusal is why the order was not taken, or [Accepted].
	Refusal Refusal
	// Clock is the worker's steady clock, or 0 if it did not say.
	Clock time.Duration
}

// Run is one run of a task on a worker.
type Run struct {
	Task       string
	Run        int64
	Checkpoint string
	// Percent is the share of the resources that the run may use.
	Percent int
	// Metric is the rough reading of the last half second: the tail of the
	// response times in milliseconds for a serving task, and the
	// milli-cores in use for any other.
	Metric float64
}

// EndReason is how a run ended.
type EndReason string

// The endings.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	EndBroken       EndReason = "broken"
	EndAlone        EndReason = "alone"
)

// End is the end of a run. Ends are numbered from 1 in each life of a worker.
type End struct {
	Number     int64
	Task       string
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// Report is what runs and what has ended on a worker.
type Report struct {
	// Refusal is why the worker did not take the order, or [Accepted]; nothing
	// else is known then.
	Refusal Refusal
	Clock   time.Duration
	// WorkerStartedAt is the start of the worker's life; zero if it did not say.
	WorkerStartedAt time.Time
	Running         []Run
	// Ended holds the ends after the one last seen, in order. It is cut at
	// [MaxEnds].
	Ended []End
}

// MaxEnds is the greatest number of ends in a report.
const MaxEnds = 500
