package rank

import (
	"cmp"
	"time"
)

// Job describes a job that waits.
type Job struct {
	// Accepted is when the job was accepted.
	Accepted time.Time
	// Priority orders queues; 0 comes first.
	Priority int
	// CriticalPath is the longest chain of the job's work, Left that of what is not
	// done.
	CriticalPath  time.Duration
	RemainingPath time.Duration
	// RemainingWork is the work that is left, in core-seconds.
	RemainingWork float64
	// Objective and Stretch give the time in which the job should be
	// completed: Stretch times the chain, and Objective more.
	Objective time.Duration
	Stretch   float64
	// Persistent is true for a job that runs until it is cancelled.
	Persistent bool
	// Started is true once a task of the job was given a place.
	Started bool
}

// Class is what can still be won with a job.
type Class int

// The classes, best first.
const (
	// Persistent jobs earn while they run.
	Persistent Class = iota
	// Expiring is late work that must be begun very soon to be of use, when it
	// is its turn.
	Expiring
	// OnTime is work that can be completed within its objective.
	OnTime
	// Tight is new work that can only be completed within its objective if all
	// goes well.
	Tight
	// Late is work that can be completed within three times its objective.
	Late
	// Expired is work that can only be completed later.
	Expired
)

// lateFactor times the objective is when a completed job stops being of use,
// as the users state it.
const lateFactor = 3

// Rank is the place of a job in the order.
type Rank struct {
	class    Class
	priority int
	waits    bool // for its first task
	key      time.Time
}

// Bound returns the time in which the work should be completed.
func (w Job) Bound() time.Duration {
	return time.Duration(max(1, w.Stretch)*float64(w.CriticalPath)) + w.Objective
}

// expiry is how long before its last chance late work is Expiring: about as long
// as it takes until its turn comes and room is found.
const expiry = time.Second

// Params is what goes before what in one decision.
type Params struct {
	// Margin is the share of its expected time that must be left besides that
	// time for new work to be begun; see [Load.Margin].
	Margin float64
	// ExpiringFirst is true if expiring work goes first. Few turns should be such,
	// since work that can be completed in time is worth more.
	ExpiringFirst bool
}

// Of returns the rank of the work at that time.
func Of(now time.Time, w Job, t Params) Rank {
	r := Rank{class: Persistent, priority: w.Priority, waits: !w.Started, key: w.Accepted}
	if w.Persistent {
		return r
	}
	finish := now.Add(w.RemainingPath)
	likely := finish
	if !w.Started {
		likely = finish.Add(time.Duration(t.Margin * float64(w.RemainingPath)))
	}
	due := w.Accepted.Add(w.Bound())
	late := w.Accepted.Add(lateFactor * w.Bound())
	switch {
	case !likely.After(due):
		r.class, r.key = OnTime, due.Add(-w.RemainingPath)
	case !finish.After(due):
		r.class, r.key = Tight, due.Add(-w.RemainingPath)
	case !likely.After(late):
		r.class, r.key = Late, late.Add(-w.RemainingPath)
		if t.ExpiringFirst && r.key.Sub(now) < expiry {
			r.class = Expiring
		}
	default:
		r.class = Expired
	}
	return r
}

// Class returns what can still be won.
func (r Rank) Class() Class { return r.class }

// Compare returns a negative number if r goes before o.
func (r Rank) Compare(o Rank) int {
	if n := cmp.Compare(r.class, o.class); n != 0 {
		return n
	}
	if n := cmp.Compare(r.priority, o.priority); n != 0 {
		return n
	}
	if r.waits != o.waits && r.class != Persistent {
		if o.waits {
			return -1
		}
		return 1
	}
	return r.key.Compare(o.key)
}
