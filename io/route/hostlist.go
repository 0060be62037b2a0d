package route

import (
	"context"
	"time"
)

// followHostList looks at the platform's host list now and then, and keeps new
// work off the hosts that are listed as leaving. While the list cannot be read,
// the last one counts.
func (e *Engine) followHostList(ctx context.Context) error {
	t := time.NewTicker(e.settings.Limits.HostListInterval)
	defer t.Stop()
	view := newHostView(e.settings.HostList)
	for {
		e.readHostList(ctx, view)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// readHostList looks at the list once.
func (e *Engine) readHostList(ctx context.Context, view *hostView) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.Limits.HostListInterval)
	defer cancel()
	leaving, err := view.read(ctx)
	if err != nil {
		e.settings.Log.WithField("part", "route").WithError(err).Debug("The host list could not be read.")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.SetLeavingHosts(e.settings.Now(), leaving)
}
