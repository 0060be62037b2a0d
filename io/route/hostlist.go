package route

import (
	"context"
	"time"
)

// followHostList reads the platform's host list periodically, and closes the
// hosts that are listed as leaving to new work. While the list cannot be read,
// the last one that was read applies.
func (e *Engine) followHostList(ctx context.Context) error {
	t := time.NewTicker(e.settings.Limits.HostListInterval)
	defer t.Stop()
	hosts := newLeavingHosts(e.settings.HostList)
	for {
		e.readHostList(ctx, hosts)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// readHostList reads the list once and updates the scheduler.
func (e *Engine) readHostList(ctx context.Context, hosts *leavingHosts) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.Limits.HostListInterval)
	defer cancel()
	leaving, err := hosts.read(ctx)
	if err != nil {
		e.settings.Log.WithField("part", "route").WithError(err).Debug("Reading the host list failed.")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.SetLeavingHosts(e.settings.Now(), leaving)
}
