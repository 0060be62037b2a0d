package site

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleyrock/core/tenure"
)

const (
	// latenessInterval is the time between two looks at how late the process runs.
	latenessInterval = 50 * time.Millisecond
	// latenessLimit is the lateness from which the process cannot tell a silent
	// worker from one whose answer it has had no time to read. A processor
	// quota alone makes a process up to 0.1 s late.
	latenessLimit = 250 * time.Millisecond
)

// latenessMonitor watches how late the process runs.
type latenessMonitor struct {
	lateAt   atomic.Int64
	mu       sync.Mutex
	lateness tenure.Lateness
}

// watch notes when the process runs late, until ctx ends.
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

// decideRelease reports whether a cell that was taken at that time should be given up
// because the process runs late all the time, and by how much it does.
func (l *latenessMonitor) decideRelease(now, taken time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lateness.DecideRelease(now, taken), l.lateness.Mean()
}

// lateSince reports whether the process has run late since that time.
func (l *latenessMonitor) lateSince(t time.Time) bool { return l.lateAt.Load() >= t.UnixNano() }
