package rank

import "time"

const (
	// maxMargin is the margin under full load. The tasks of a step run in
	// parallel, and the longest of eight takes about this much longer than the
	// mean.
	maxMargin = 0.35
	// noMarginLoad is the load up to which there is no margin, fullMarginLoad the
	// load from which the margin is maxMargin. Load is the time that all workers
	// need for the new jobs, divided by the time that these jobs can wait. Below
	// 1 earliest-deadline-first order completes all of them on time, as far as
	// the estimates are right.
	noMarginLoad   = 0.6
	fullMarginLoad = 1.0
)

// Load is the work of the new jobs that can still be completed on time. The zero
// value is empty and ready to use.
type Load struct {
	work  float64
	slack time.Duration
	jobs  int
}

// Add adds a job if it is new and can still be completed on time.
func (l *Load) Add(now time.Time, j Job) {
	if j.Persistent || j.Started || now.Add(j.RemainingPath).After(j.Accepted.Add(j.Bound())) {
		return
	}
	l.work += j.RemainingWork
	l.slack += j.Bound() - j.RemainingPath
	l.jobs++
}

// Margin returns the margin with which new jobs should be started on that many
// cores. A margin sacrifices jobs that might just be on time for others that
// will be, which pays off only if not all of them can be.
func (l *Load) Margin(cores float64) float64 {
	if l.jobs == 0 || cores <= 0 {
		return 0
	}
	load := l.work / cores / (l.slack.Seconds() / float64(l.jobs))
	return maxMargin * max(0, min(1, (load-noMarginLoad)/(fullMarginLoad-noMarginLoad)))
}
