package rank

import "time"

const (
	// fullMargin is the margin in a surge. The tasks of a step run side by side,
	// and the longest of eight takes about so much longer than the mean.
	fullMargin = 0.35
	// lightLoad and heavyLoad are the time that the new jobs need of all
	// workers, as a share of the time that they can wait, up to which there is
	// no margin and from which it is full. Below 1 the jobs all make it in the
	// order of their deadlines, as far as the estimates are right.
	lightLoad = 0.6
	heavyLoad = 1.0
)

// Load is the work of the new jobs that can still be completed in time. The
// zero value holds none.
type Load struct {
	work  float64
	spare time.Duration
	jobs  int
}

// Add adds a job, if it is new and can still be completed in time.
func (l *Load) Add(now time.Time, w Job) {
	if w.Persistent || w.Started || now.Add(w.RemainingPath).After(w.Accepted.Add(w.Bound())) {
		return
	}
	l.work += w.RemainingWork
	l.spare += w.Bound() - w.RemainingPath
	l.jobs++
}

// Margin returns the margin with which new jobs should be begun on that many
// cores. A margin gives up jobs which might just make it for others that will:
// that is right only if not all of them can.
func (l *Load) Margin(cores float64) float64 {
	if l.jobs == 0 || cores <= 0 {
		return 0
	}
	pressure := l.work / cores / (l.spare.Seconds() / float64(l.jobs))
	return fullMargin * max(0, min(1, (pressure-lightLoad)/(heavyLoad-lightLoad)))
}
