// Package boot reads the steady clock that counts the time for which the host
// is suspended.
//
// Reading that clock takes a system call, and an entry reads the time tens of
// thousands of times a second. The other steady clock, which stands still while the
// host is suspended, and the time of day take none. As long as both have advanced by
// the same time, the host has not been suspended, and the former tells the time.
//
// # Usage
//
//	clock := boot.NewClock(time.Now())
//	now := clock.Now()
package boot

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxSampleAge is how long the time is derived from one reading of the clock that
	// counts suspensions.
	maxSampleAge = 100 * time.Millisecond
	// maxDifference is by how much the two other clocks may have advanced differently
	// since. The time of day is slewed by far less in maxSampleAge.
	maxDifference = time.Millisecond
	// maxSampleTime is how long reading all clocks may take, and maxSampleAttempts bounds
	// the attempts to do so without being interrupted.
	maxSampleTime     = 100 * time.Microsecond
	maxSampleAttempts = 3
)

// Clock tells the time of day at its start and the steady time since then, so
// that neither a suspension nor a jump of the time of day confuses it. It is safe for
// concurrent use.
type Clock struct {
	base  time.Time
	start time.Duration
	last  atomic.Pointer[sample]
	// read reads the cheap clocks, and sinceBoot the one that counts suspensions.
	read      func() reading
	sinceBoot func() time.Duration
}

// reading holds the time of day and the steady time that stands still in suspensions, each
// since some moment.
type reading struct{ wall, steady time.Duration }

// sample holds readings of all clocks from about the same time.
type sample struct {
	reading
	boot time.Duration
}

// NewClock returns a clock that shows the given time of day now.
func NewClock(now time.Time) *Clock {
	origin := time.Now()
	return newClock(now, func() reading {
		t := time.Now()
		return reading{wall: time.Duration(t.UnixNano()), steady: t.Sub(origin)}
	}, sinceBoot)
}

func newClock(now time.Time, read func() reading, sinceBoot func() time.Duration) *Clock {
	return &Clock{base: now.Round(0), start: sinceBoot(), read: read, sinceBoot: sinceBoot}
}

// Now returns the time.
func (c *Clock) Now() time.Time {
	r, s := c.read(), c.last.Load()
	if s == nil || !s.isCurrent(r) {
		s = c.sample()
		c.last.Store(s)
		r = s.reading
	}
	return c.base.Add(s.boot - c.start + r.steady - s.steady)
}

// isCurrent reports whether the time can be derived from the sample and a reading, because
// the host has not been suspended in between.
func (s *sample) isCurrent(r reading) bool {
	steady, wall := r.steady-s.steady, r.wall-s.wall
	return steady >= 0 && steady < maxSampleAge && (wall-steady).Abs() < maxDifference
}

// sample reads all clocks.
func (c *Clock) sample() *sample {
	var s *sample
	for range maxSampleAttempts {
		s = &sample{reading: c.read()}
		s.boot = c.sinceBoot()
		if c.read().steady-s.steady < maxSampleTime {
			break
		}
	}
	return s
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boot: CLOCK_BOOTTIME: " + err.Error()) // Linux always has it
	}
	return time.Duration(t.Nano())
}
