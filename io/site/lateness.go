package site

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleyrock/core/tenure"
)

const (
	// latenessInterval is the time between measurements of the lateness.
	latenessInterval = 50 * time.Millisecond
	// latenessLimit is the lateness above which the process cannot tell a silent
	// worker from one whose answer it had no time to read. A CPU quota alone delays
	// a process by up to 0.1 s.
	latenessLimit = 250 * time.Millisecond
)

// latenessMonitor measures how late the goroutines of the process run, because it was
// suspended or had too little CPU. It is safe for concurrent use.
type latenessMonitor struct {
	// lateAt is when the lateness last exceeded latenessLimit, in Unix nanoseconds.
	lateAt   atomic.Int64
	mu       sync.Mutex
	lateness tenure.Lateness
}

// watch measures the lateness until ctx ends.
func (l *latenessMonitor) watch(ctx context.Context, now func() time.Time) error {
	for {
		before := now()
		if err := sleep(ctx, latenessInterval); err != nil {
			return err
		}
		after := now()
		late := max(0, after.Sub(before)-latenessInterval)
		if late > latenessLimit {
			l.lateAt.Store(after.UnixNano())
		}
		l.mu.Lock()
		l.lateness.Record(after, late)
		l.mu.Unlock()
	}
}

// decideRelease reports whether a cell that was acquired at the given time should be
// released because the process is late all the time. It also returns the mean lateness.
func (l *latenessMonitor) decideRelease(now, acquired time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lateness.DecideRelease(now, acquired), l.lateness.Mean()
}

// lateSince reports whether the lateness has exceeded latenessLimit at or after t.
func (l *latenessMonitor) lateSince(t time.Time) bool { return l.lateAt.Load() >= t.UnixNano() }
