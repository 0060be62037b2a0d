package cell

import "time"

// Settings holds the parameters of a [Cell].
type Settings struct {
	// Pool is the pool whose workers the cell manages.
	Pool string
	// Fence is the owner's epoch, which orders carry as a fencing token. It is
	// the version of the platform's table at which the owner took over the cell,
	// and grows with every change of owners.
	Fence uint64
	// LeaseDuration is the length of the leases that are sent to workers.
	LeaseDuration time.Duration
	// MaxLeaseDuration is the longest lease that a worker accepts.
	MaxLeaseDuration time.Duration
	// FormerLeasesEndAt is when every lease from a former owner has expired,
	// whatever the rate of the worker's clock.
	FormerLeasesEndAt time.Time
	// FormerWorkers holds the IDs of the workers to which a former owner sent
	// orders, and when their last lease has expired. The zero time means that
	// only FormerLeasesEndAt is known.
	FormerWorkers map[string]time.Time
	// MaxStopDuration is the longest time that a worker takes to stop a run.
	MaxStopDuration time.Duration
	// RemoteSlowdown is the ratio between the run times of a task outside and
	// inside the rack of its data.
	RemoteSlowdown float64
	// MaxEarlyStart is how long before its scheduled time a task may start.
	MaxEarlyStart time.Duration
	// EndedRetention is how long the IDs of ended jobs are kept.
	EndedRetention time.Duration
}

const (
	// minClockRate is the least rate of a worker's clock. The platform states
	// that clocks may be 2 % slow; the rest is a margin for reading them.
	minClockRate = 0.975
	// maxJobChangeAge is how old the known state of the jobs may be when a task is
	// started. Tasks of a cancelled job may start for 4 s after the cancellation,
	// which leaves 1.5 s for the delivery of the order and delays of the process.
	maxJobChangeAge = 2500 * time.Millisecond
	// expiringInterval is the number of rankings of which one places expiring
	// jobs first. Giving them about a seventh of the capacity halves the number
	// of jobs that starve in a surge; core/rank tests this.
	expiringInterval = 7
	// resendInterval is the time between repeats of an unanswered order. It is
	// several times the delay to the farthest worker.
	resendInterval = 250 * time.Millisecond
	// fullBackoff is how long a worker that refused a start for a reason that may pass
	// soon, such as a lack of resources, is given no new tasks, about as long as one of
	// its tasks takes to end.
	fullBackoff = 60 * time.Millisecond
	// busyBackoff is how long a worker that is unhealthy, was not reached, or refused
	// a start for an unknown reason is given no new tasks.
	busyBackoff = 500 * time.Millisecond
	// unansweredBackoff is how long a worker that left two starts of a run unanswered is
	// given no new tasks, longer than it takes to give the run up.
	unansweredBackoff = 4 * time.Second
	// unansweredWait bounds how long the answer to a renewal may wait while a start is
	// unanswered, since no end of a run may come.
	unansweredWait = 100 * time.Millisecond
	// maxReportAge is the time since a worker's last answer after which it is
	// given no new tasks. A waiting renewal is answered sooner.
	maxReportAge = 1500 * time.Millisecond
	// flushDelay is how long progress may wait to be written together with later
	// progress. It must be visible within 3 s.
	flushDelay = 50 * time.Millisecond
	// urgentFlushDelay is how long urgent changes, such as the end of a job, may
	// wait to be written together with others.
	urgentFlushDelay = 20 * time.Millisecond
	// placementFlushDelay is how long the placement of a run may wait to be written
	// together with others. It delays the start of the run.
	placementFlushDelay = 12 * time.Millisecond
	// maxBatchRows bounds the rows of jobs in a batch, which keeps the rows and
	// conditions of a transaction below the platform's limit of 100.
	maxBatchRows = 72
	// maxBatchBytes bounds the size of the progress in a batch, but for its last row, which
	// keeps a transaction below the platform's limit of 1 MB when it is encoded as base64.
	maxBatchBytes = 512 << 10
	// runsPerFence is the number of run numbers that are reserved for each epoch.
	runsPerFence = 1 << 12
)
