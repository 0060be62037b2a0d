package jobs

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
)

// item is a job that the session holds.
type item struct {
	job         job.Job
	version     uint64 // of the job's row
	host        rock.Host
	observation job.Observation
	statusAt    time.Time
	// slotReserved is true if the placer counts the task.
	slotReserved bool
	// unstarted is true if the task was certainly not started. Such a job is
	// neither looked at nor judged until its task is started.
	unstarted bool
}

// newItem returns a job that was claimed or adopted now.
func newItem(now time.Time, j job.Job, version uint64, host rock.Host, counted bool) *item {
	return &item{
		job: j, version: version, host: host, slotReserved: counted,
		observation: job.Observation{LastAnswerAt: now, LastCheckpointAt: now},
	}
}

// statusAgeDivisor is the part of its age after which a young task is looked at
// again: one in so many.
const statusAgeDivisor = 10

// statusDue reports whether the task should be looked at.
func (i *item) statusDue(now time.Time, s Settings) bool {
	wait := min(max(now.Sub(i.job.StartedAt())/statusAgeDivisor, s.Interval), s.StatusInterval)
	return now.Sub(i.statusAt) >= wait
}
