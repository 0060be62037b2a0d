package cell

import (
	"time"

	rock "bramleyrock"
)

// runState is the state of a run as far as its owner knows.
type runState string

// The states of a run.
const (
	// placed is a run whose start may be ordered once its place is stored.
	placed   runState = "placed"
	starting runState = "starting"
	running  runState = "running"
	stopping runState = "stopping"
)

// run is a run of a task on a worker, from the order to start it until its
// end is proved.
type run struct {
	key    string
	number int64
	// task is nil if the run belongs to no live task.
	task   *task
	worker *worker
	room   rock.Resources
	state  runState
	// orderedAt is when the last order was given, answeredAt when the worker
	// first confirmed the run or its stop.
	orderedAt  time.Time
	answeredAt time.Time
	startedAt  time.Time
	// startUnanswered is true once the answer to a start was lost.
	startUnanswered bool
	inFlight        bool
	// placeStored is true once the run's place is stored.
	placeStored    bool
	checkpoint     string
	percent        int
	figure         float64
	throttleSentAt time.Time
	// stopReason is the reason of a stop.
	stopReason string
}

// runKey names a run of a task.
type runKey struct {
	task   string
	number int64
}

func (r *run) id() runKey { return runKey{r.key, r.number} }
