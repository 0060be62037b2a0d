package tenure

import (
	"math"
	"time"
)

const (
	// latenessWindow is the time constant of the mean lateness. It is longer than
	// the burst of work that follows a takeover.
	latenessWindow = 1500 * time.Millisecond
	// maxMeanLateness is the mean lateness from which a process is overloaded. A CPU
	// quota alone makes timers up to 0.1 s late.
	maxMeanLateness = 180 * time.Millisecond
	// maxSample bounds a sample, and maxSampleInterval the time for which it counts,
	// so that a single suspension of the process does not look like overload.
	maxSample         = 600 * time.Millisecond
	maxSampleInterval = 350 * time.Millisecond
	// MinOwnership is the least time for which an owner keeps a cell. It keeps
	// entries that are all overloaded from passing the cell on all the time: a
	// takeover costs about 0.3 s.
	MinOwnership = 6 * time.Second
	// MinReleaseInterval is the least time between two releases of cells by an
	// entry. In that time the effect of the first one on its lateness shows.
	MinReleaseInterval = 3 * time.Second
	// ReleaseBackoff is added to the takeover delay of an entry for a cell that it
	// released because of overload. It is longer than the delay of the most loaded
	// other entry.
	ReleaseBackoff = 2500 * time.Millisecond
	// ReleaseBackoffPeriod is how long after the release that holds.
	ReleaseBackoffPeriod = 10 * time.Second
)

// Lateness measures how late the timers of a process fire, and decides when the
// process should release a cell because it is overloaded. The owner of a busy cell
// with too little CPU time would otherwise fall behind more and more, while faster
// entries that were away at the takeover are idle. The zero value is ready to use.
type Lateness struct {
	mean       float64 // seconds
	recordedAt time.Time
	releasedAt time.Time
}

// Record adds a sample: a timer of the process has just fired late by the given time.
func (l *Lateness) Record(now time.Time, late time.Duration) {
	weight := 0.0 // of the former mean
	if !l.recordedAt.IsZero() {
		weight = math.Exp(-min(maxSampleInterval, now.Sub(l.recordedAt)).Seconds() / latenessWindow.Seconds())
	}
	l.mean, l.recordedAt = l.mean*weight+min(maxSample, late).Seconds()*(1-weight), now
}

// Mean returns the exponentially weighted mean lateness.
func (l *Lateness) Mean() time.Duration { return time.Duration(l.mean * float64(time.Second)) }

// DecideRelease reports whether a cell that the process has owned since acquiredAt
// should be released now. If so, it records the release.
func (l *Lateness) DecideRelease(now, acquiredAt time.Time) bool {
	if l.Mean() < maxMeanLateness || now.Sub(acquiredAt) < MinOwnership || !l.releasedAt.IsZero() && now.Sub(l.releasedAt) < MinReleaseInterval {
		return false
	}
	l.releasedAt = now
	return true
}
