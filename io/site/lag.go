package site

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bramleyrock/core/tenure"
)

const (
	// lagInterval is the time between two looks at how late the process runs.
	lagInterval = 50 * time.Millisecond
	// lagLimit is the lateness from which the process cannot tell a silent
	// worker from one whose answer it has had no time to read. A processor
	// quota alone makes a process up to 0.1 s late.
	lagLimit = 250 * time.Millisecond
)

// lag watches how late the process runs.
type lag struct {
	lateAt atomic.Int64
	mu     sync.Mutex
	strain tenure.Lateness
}

// watch notes when the process runs late, until ctx ends.
func (l *lag) watch(ctx context.Context, now func() time.Time) error {
	for {
		before := now()
		if err := pause(ctx, lagInterval); err != nil {
			return err
		}
		after := now()
		late := max(0, after.Sub(before)-lagInterval)
		if late > lagLimit {
			l.lateAt.Store(after.UnixNano())
		}
		l.mu.Lock()
		l.strain.Record(after, late)
		l.mu.Unlock()
	}
}

// giveUp reports whether a cell that was taken at that time should be given up
// because the process runs late all the time, and by how much it does.
func (l *lag) giveUp(now, taken time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.strain.DecideRelease(now, taken), l.strain.Mean()
}

// since reports whether the process has run late since that time.
func (l *lag) since(t time.Time) bool { return l.lateAt.Load() >= t.UnixNano() }
