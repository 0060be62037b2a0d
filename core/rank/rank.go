package rank

import (
	"cmp"
	"time"
)

// Job describes a waiting job.
type Job struct {
	// Accepted is the time at which the job was accepted.
	Accepted time.Time
	// Priority is the priority of the job's queue; 0 is the highest.
	Priority int
	// CriticalPath is the estimated duration of the longest chain of dependent
	// tasks of the job. RemainingPath is that of the tasks that are not done.
	CriticalPath  time.Duration
	RemainingPath time.Duration
	// RemainingWork is the work of the tasks that are not done, in core-seconds.
	RemainingWork float64
	// Objective and Stretch give the time in which the job should be completed:
	// Stretch times the critical path, plus Objective.
	Objective time.Duration
	Stretch   float64
	// Persistent is true for a job that runs until it is cancelled.
	Persistent bool
	// Started is true once a task of the job has been placed.
	Started bool
}

// Class groups jobs by the benefit that they can still bring.
type Class int

// The classes, in the order in which they are served.
const (
	// Persistent jobs bring a benefit as long as they run.
	Persistent Class = iota
	// Expiring jobs are late and must be started within about a second to be of
	// use. The class occurs only if [Params.ExpiringFirst] is true.
	Expiring
	// OnTime jobs can be completed within their bound.
	OnTime
	// Tight jobs are new and can be completed within their bound only without a
	// margin.
	Tight
	// Late jobs can be completed within three times their bound, new ones with
	// the margin.
	Late
	// Expired jobs can only be completed later, when the result is of no use.
	Expired
)

// lateFactor is the multiple of a job's bound after which its completion is of no
// use, by the users' definition.
const lateFactor = 3

// Rank is the position of a job in the order of service.
type Rank struct {
	class      Class
	priority   int
	notStarted bool
	key        time.Time
}

// Bound returns the time after acceptance in which the job should be completed.
func (j Job) Bound() time.Duration {
	return time.Duration(max(1, j.Stretch)*float64(j.CriticalPath)) + j.Objective
}

// expiringWindow is how long before its latest useful start a late job becomes
// Expiring: about the time until its round comes and capacity is found.
const expiringWindow = time.Second

// Params holds the parameters of one scheduling round.
type Params struct {
	// Margin is the safety margin for starting a new job, as a share of its
	// remaining path; see [Load.Margin].
	Margin float64
	// ExpiringFirst is true if expiring jobs go first. Few rounds should set it,
	// since jobs that can be completed on time bring more benefit.
	ExpiringFirst bool
}

// Of returns the rank of the job at the given time.
func Of(now time.Time, j Job, p Params) Rank {
	r := Rank{class: Persistent, priority: j.Priority, notStarted: !j.Started, key: j.Accepted}
	if j.Persistent {
		return r
	}
	finish := now.Add(j.RemainingPath)
	likely := finish
	if !j.Started {
		likely = finish.Add(time.Duration(p.Margin * float64(j.RemainingPath)))
	}
	due := j.Accepted.Add(j.Bound())
	late := j.Accepted.Add(lateFactor * j.Bound())
	switch {
	case !likely.After(due):
		r.class, r.key = OnTime, due.Add(-j.RemainingPath)
	case !finish.After(due):
		r.class, r.key = Tight, due.Add(-j.RemainingPath)
	case !likely.After(late):
		r.class, r.key = Late, late.Add(-j.RemainingPath)
		if p.ExpiringFirst && r.key.Sub(now) < expiringWindow {
			r.class = Expiring
		}
	default:
		r.class = Expired
	}
	return r
}

// Class returns the class of the job.
func (r Rank) Class() Class { return r.class }

// Compare returns a negative number if r goes before o, and a positive number if o
// goes before r. Within a class, higher priority goes first, then jobs that have
// started, then the job that must start first to be completed within its bound
// (within three times the bound if it is Late). Persistent and Expired jobs go in
// order of acceptance.
func (r Rank) Compare(o Rank) int {
	if n := cmp.Compare(r.class, o.class); n != 0 {
		return n
	}
	if n := cmp.Compare(r.priority, o.priority); n != 0 {
		return n
	}
	if r.notStarted != o.notStarted && r.class != Persistent {
		if o.notStarted {
			return -1
		}
		return 1
	}
	return r.key.Compare(o.key)
}
