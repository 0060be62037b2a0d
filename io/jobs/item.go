package jobs

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
)

// item is a job that the session holds. Handlers read its job and observation
// under the lock of Jobs.
type item struct {
	job               job.Job
	version           uint64 // of the job's row
	host              rock.Host
	observation       job.Observation
	statusRequestedAt time.Time
	// slotReserved is true if a slot is reserved at the placer for the task.
	slotReserved bool
	// unstarted is true if the task was certainly not started. Until it is, its
	// status is not requested and the job is not advanced.
	unstarted bool
}

// newItem returns an item for a job that is claimed or adopted at the given
// time.
func newItem(now time.Time, j job.Job, version uint64, host rock.Host, slotReserved bool) *item {
	return &item{
		job: j, version: version, host: host, slotReserved: slotReserved,
		observation: job.Observation{LastAnswerAt: now, LastCheckpointAt: now},
	}
}

// statusAgeDivisor spaces the status requests for a new task: the next one is
// due after the task's age divided by statusAgeDivisor, but not before
// [Settings.Interval] nor after [Settings.StatusInterval].
const statusAgeDivisor = 10

// statusDue reports whether the task's status should be requested.
func (i *item) statusDue(now time.Time, s Settings) bool {
	wait := min(max(now.Sub(i.job.StartedAt())/statusAgeDivisor, s.Interval), s.StatusInterval)
	return now.Sub(i.statusRequestedAt) >= wait
}
