// Package boot reads the steady clock that counts the time for which the host
// is suspended.
//
// # Usage
//
//	clock := boot.NewClock(time.Now())
//	now := clock.Now()
package boot

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time of day at its start and the steady time since then, so
// that neither a suspension nor a jump of the time of day confuses it.
type Clock struct {
	base  time.Time
	start time.Duration
}

// NewClock returns a clock that shows the given time of day now.
func NewClock(now time.Time) *Clock {
	return &Clock{base: now.Round(0), start: sinceBoot()}
}

// Now returns the time.
func (c *Clock) Now() time.Time { return c.base.Add(sinceBoot() - c.start) }

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("boot: CLOCK_BOOTTIME: " + err.Error()) // Linux always has it
	}
	return time.Duration(t.Nano())
}
