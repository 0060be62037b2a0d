package cell

import "time"

// Settings holds the parameters of a [Cell].
type Settings struct {
	// Pool is the pool whose workers the cell orders.
	Pool string
	// Fence is the owner's epoch, the version of the platform's table at which
	// it took the cell. It grows with every change of owners.
	Fence uint64
	// LeaseDuration is the lease that workers are given.
	LeaseDuration time.Duration
	// MaxLeaseDuration is the longest lease that workers grant.
	MaxLeaseDuration time.Duration
	// FormerLeasesEndAt is when the last lease that a former owner gave has passed on
	// every worker's clock.
	FormerLeasesEndAt time.Time
	// FormerWorkers holds the workers to which a former owner gave orders, and when
	// their last lease has passed if that is known.
	FormerWorkers map[string]time.Time
	// MaxStopDuration is the time that a stop takes at most.
	MaxStopDuration time.Duration
	// RemoteSlowdown is how many times longer work takes away from its data.
	RemoteSlowdown float64
	// MaxEarlyStart is how long before its time a task may start.
	MaxEarlyStart time.Duration
	// EndedRetention is how long jobs that have ended are remembered.
	EndedRetention time.Duration
}

const (
	// minClockRate is the least rate of a worker's clock: the platform states
	// that it may be 2 % slow, with a margin for the reading of clocks.
	minClockRate = 0.975
	// maxJobChangeAge is how old the knowledge of jobs may be for a task to be
	// started. A cancelled job's tasks may start for 4 s, and 1.5 s are left
	// for the order's way and for a process that runs late.
	maxJobChangeAge = 2500 * time.Millisecond
	// expiringInterval is the number of decisions of which one places expiring jobs
	// first. About a seventh of the room halves the jobs that a surge
	// starves; core/rank has the test.
	expiringInterval = 7
	// resendInterval is the time between repeats of an unanswered order,
	// several times the way to the farthest worker.
	resendInterval = 250 * time.Millisecond
	// fullBackoff is how long a worker that had no room is not asked again,
	// about as long as it takes for one of its tasks to end.
	fullBackoff = 60 * time.Millisecond
	// busyBackoff is how long an unhealthy worker is not asked again.
	busyBackoff = 500 * time.Millisecond
	// maxReportAge is how long a worker may be silent before it is given no
	// new work: a waiting hold order is answered within less.
	maxReportAge = 1500 * time.Millisecond
	// flushDelay is how long progress that ends no job may wait for more, far
	// below the 3 s in which it must be visible.
	flushDelay = 50 * time.Millisecond
	// urgentFlushDelay is how long the end of a job may wait for others.
	urgentFlushDelay = 20 * time.Millisecond
	// placementFlushDelay is how long the place of a run may wait to be stored with
	// those of others: it delays the run's start.
	placementFlushDelay = 12 * time.Millisecond
	// maxBatchRows bounds the rows of jobs in a batch, so that all of its rows and
	// conditions stay below the platform's 100 in a transaction.
	maxBatchRows = 72
	// runsPerFence is the number of run numbers that belong to a fence.
	runsPerFence = 1 << 12
)
