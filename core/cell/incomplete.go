package cell

import (
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"
)

// SetJobsIncomplete sets whether jobs of the cell may be missing because a part of
// the platform's table cannot be read. While it is true, runs of unknown jobs are
// not stopped, and the ends of their runs are not acknowledged to the workers.
func (c *Cell) SetJobsIncomplete(now time.Time, partial bool) {
	if c.jobsIncomplete == partial {
		return
	}
	c.jobsIncomplete = partial
	if partial {
		return
	}
	for _, w := range c.workers {
		w.deferredEnds = nil
		for _, r := range w.runs {
			if r.task == nil && r.state == running {
				c.stopRun(r, "no live task needs the run")
			}
		}
	}
	c.markDirty(now, false)
}

// isUnreadJob reports whether a task may belong to a job that is not read yet.
func (c *Cell) isUnreadJob(task string) bool {
	if !c.jobsIncomplete {
		return false
	}
	n, err := works.ParseTaskName(task)
	return err == nil && c.jobs[n.Job] == nil && !c.endedIDs.contains(n.Job)
}

// HandleDeferredEnds handles the ends of a job's runs that workers reported before
// the job and its progress were added.
func (c *Cell) HandleDeferredEnds(now time.Time, id string) {
	for _, w := range c.workers {
		w.deferredEnds = slices.DeleteFunc(w.deferredEnds, func(e rock.End) bool {
			n, err := works.ParseTaskName(e.Task)
			if err != nil || n.Job != id {
				return false
			}
			c.handleEnd(now, w, e)
			return true
		})
	}
}
