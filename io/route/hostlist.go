package route

import (
	"context"
	"time"

	rock "bramleyrock"
)

// followHostList looks at the platform's host list now and then, and keeps new
// work off the hosts that are listed as leaving. While the list cannot be read,
// the last one counts.
func (e *Engine) followHostList(ctx context.Context) error {
	t := time.NewTicker(e.settings.Limits.ListInterval)
	defer t.Stop()
	for {
		e.readHostList(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// readHostList reads the list once.
func (e *Engine) readHostList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.Limits.ListInterval)
	defer cancel()
	list, err := e.settings.HostList.List(ctx)
	if err != nil {
		e.settings.Log.WithField("part", "route").WithError(err).Debug("The host list could not be read.")
		return
	}
	var leaving []string
	for _, h := range list {
		if h.State() != rock.HostLive {
			leaving = append(leaving, h.Name())
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sched.SetLeaving(e.settings.Now(), leaving)
}
