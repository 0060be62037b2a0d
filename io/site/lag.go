package site

import (
	"context"
	"sync/atomic"
	"time"
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
}

// watch notes when the process runs late, until ctx ends.
func (l *lag) watch(ctx context.Context, now func() time.Time) error {
	for {
		before := now()
		if err := pause(ctx, lagInterval); err != nil {
			return err
		}
		if after := now(); after.Sub(before) > lagInterval+lagLimit {
			l.lateAt.Store(after.UnixNano())
		}
	}
}

// since reports whether the process has run late since that time.
func (l *lag) since(t time.Time) bool { return l.lateAt.Load() >= t.UnixNano() }
