package tenure

import (
	"math"
	"time"
)

const (
	// latenessWindow is the time over which lateness is averaged: longer than the
	// burst of work that follows a takeover.
	latenessWindow = 1500 * time.Millisecond
	// maxMeanLateness is the mean lateness from which an entry has too much to do.
	// A processor quota alone makes timers up to 0.1 s late.
	maxMeanLateness = 180 * time.Millisecond
	// maxSample and maxGap bound what one reading counts for, so that a freeze
	// does not look like too much work.
	maxSample         = 600 * time.Millisecond
	maxSampleInterval = 350 * time.Millisecond
	// MinOwnership is how long an owner keeps a cell at least, so that entries
	// which are all too weak do not pass it on all the time: a takeover costs
	// about 0.3 s.
	MinOwnership = 6 * time.Second
	// MinReleaseInterval is the time between two cells that an entry gives up, in
	// which its lateness shows what the first one has changed.
	MinReleaseInterval = 3 * time.Second
	// ReleaseBackoff is how much longer an entry leaves a cell that it gave up to
	// others: longer than the weakest other entry waits.
	ReleaseBackoff = 2500 * time.Millisecond
	// ReleaseBackoffPeriod is for how long it does so.
	ReleaseBackoffPeriod = 10 * time.Second
)

// Lateness is how late a process runs. The load it answers: the owner of a busy
// cell that has too little processor time falls behind further and further,
// while stronger entries that were away at the takeover are idle. The zero
// value is ready to use.
type Lateness struct {
	mean       float64
	recordedAt time.Time
	releasedAt time.Time
}

// Record notes that the process was late by that much just now.
func (s *Lateness) Record(now time.Time, late time.Duration) {
	keep := 0.0
	if !s.recordedAt.IsZero() {
		keep = math.Exp(-min(maxSampleInterval, now.Sub(s.recordedAt)).Seconds() / latenessWindow.Seconds())
	}
	s.mean, s.recordedAt = s.mean*keep+min(maxSample, late).Seconds()*(1-keep), now
}

// Mean returns the mean lateness.
func (s *Lateness) Mean() time.Duration { return time.Duration(s.mean * float64(time.Second)) }

// DecideRelease reports whether a cell that was taken at that time should be given up
// now, and notes that it is.
func (s *Lateness) DecideRelease(now, taken time.Time) bool {
	if s.Mean() < maxMeanLateness || now.Sub(taken) < MinOwnership || !s.releasedAt.IsZero() && now.Sub(s.releasedAt) < MinReleaseInterval {
		return false
	}
	s.releasedAt = now
	return true
}
