package cell

import (
	"time"

	rock "bramleyrock"
)

// runState is the state of a run as far as the owner of the cell knows.
type runState string

// The states of a run.
const (
	// placed means that a worker is chosen. The start is ordered once the
	// worker is stored.
	placed runState = "placed"
	// starting means that the start was ordered and is not confirmed.
	starting runState = "starting"
	running  runState = "running"
	stopping runState = "stopping"
)

// run is a run of a task on a worker, from its placement until it is proved to
// be over.
type run struct {
	key    string
	number int64
	// task is nil if the run belongs to no task of a current job.
	task      *task
	worker    *worker
	resources rock.Resources
	state     runState
	// orderedAt is when the last order was sent, and answeredAt when the worker
	// first confirmed the run or its stop.
	orderedAt  time.Time
	answeredAt time.Time
	startedAt  time.Time
	// confirmedAt is when the worker last confirmed that the run goes on, before a
	// stop was requested.
	confirmedAt time.Time
	// startUnanswered is true once a start had no answer.
	startUnanswered bool
	// startLeaseEnd is the lease end, on the worker's clock, that the last start carried,
	// or 0 if this owner has sent none. The worker refuses the start after that.
	startLeaseEnd time.Duration
	// inFlight is true while an order about the run waits for its answer.
	inFlight bool
	// placeStored is true once the run's worker is stored.
	placeStored bool
	checkpoint  string
	percent     int     // share of its resources that the run may use, as reported
	metric      float64 // as the worker reported it; see [rock.Run]
	// throttleSentAt is when the last order to change the speed was sent.
	throttleSentAt time.Time
	stopReason     string
	// listedIn is the number of the last report that listed the run.
	listedIn uint64
}

// runKey identifies a run.
type runKey struct {
	task   string
	number int64
}

func (r *run) id() runKey { return runKey{r.key, r.number} }

// lasts reports whether the run is that of a persistent task and is not to be stopped.
func (r *run) lasts() bool { return r.task != nil && r.task.step.Persistent && r.state != stopping }

// startSlack is more than the time between a worker's reading of its clock and the
// making of its lists.
const startSlack = 100 * time.Millisecond

// startExpired reports whether the worker, whose clock shows the given time, refuses all
// copies of the run's start that still arrive.
func (r *run) startExpired(clock time.Duration) bool {
	return r.startLeaseEnd > 0 && clock > r.startLeaseEnd+startSlack
}
