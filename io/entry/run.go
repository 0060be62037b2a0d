package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/logs"
	"bramleyrock/io/roster"
)

// Run serves requests until ctx ends or a component fails, and then shuts down
// gracefully. When hard ends or [Settings.StopTimeout] has passed, it cuts off the
// requests still in flight and returns an error with their number.
func (e *Entry) Run(ctx, hard context.Context) error {
	e.tasks.Go("caller door", e.caller.Serve)
	e.tasks.Go("operator door", e.operator.Serve)
	e.tasks.Go("peer door", e.peer.Serve)
	e.tasks.Go("follow", e.books.Follow)
	e.tasks.Go("links", e.links.Run)
	e.tasks.Go("roster", e.roster.Run)
	e.tasks.Go("duties", e.runner.Run)
	e.tasks.Go("register", e.register)
	e.tasks.Go("jobs", e.runJobs)
	select {
	case <-ctx.Done():
	case <-e.tasks.Context().Done():
	}
	err := e.stop(hard)
	e.tasks.Stop()
	err = errors.Join(err, e.tasks.Wait(), e.meter.Close())
	e.targets.Close()
	return err
}

// handleFenced stops the entry with a Fenced failure, because a newer process has
// taken over its name.
func (e *Entry) handleFenced(newer rock.EntryStatus) {
	e.tasks.Go("fence", func(context.Context) error {
		return rock.Fail("keep", "entry "+e.member.Name(), rock.Fenced, rock.NotRun).
			Becausef("incarnation %s at %s is newer", newer.Member().Incarnation(), newer.Member().Address())
	})
}

// rosterReport returns the revision and the tasks in flight for the status row.
func (e *Entry) rosterReport() roster.Report {
	return roster.Report{Revision: e.books.Revision(), InFlight: e.engine.InFlight(time.Now())}
}

// stop shuts the entry down gracefully: it announces to peers and the platform
// that the entry is leaving, hands over the jobs, waits for the load balancer,
// drains the requests in flight, and marks the status row as gone.
func (e *Entry) stop(hard context.Context) error {
	log := e.settings.Log.WithField(logs.PartField, "entry")
	log.Info("The entry is shutting down.")
	e.leaving.Store(true)
	ctx, cancel := context.WithTimeout(hard, e.settings.StopTimeout)
	defer cancel()
	e.caller.DisableKeepAlives()
	e.operator.DisableKeepAlives()
	e.links.Tell()
	if err := e.roster.Announce(ctx, rock.EntryLeaving); err != nil {
		log.WithError(err).Warn("The status row could not be marked as leaving.")
	}
	e.handOverJobs(ctx)
	sleep(ctx, e.settings.BalancerDelay)
	remaining := e.engine.Drain(ctx)
	err := e.closeDoors(ctx)
	if announceErr := e.roster.Announce(ctx, rock.EntryGone); announceErr != nil {
		log.WithError(announceErr).Warn("The status row could not be marked as gone.")
	}
	if remaining > 0 {
		return errors.Join(fmt.Errorf("stop entry %s: %d requests in flight were cut", e.settings.Name, remaining), err)
	}
	log.Info("The entry is gone; nothing was cut.")
	return err
}

// closeDoors closes the doors. The peer door is closed last, so that answers to
// requests that peers forwarded are still delivered.
func (e *Entry) closeDoors(ctx context.Context) error {
	g := group.New(context.WithoutCancel(ctx))
	g.Go("caller door", func(context.Context) error { return e.caller.Close(ctx) })
	g.Go("operator door", func(context.Context) error { return e.operator.Close(ctx) })
	err := g.Wait()
	err = errors.Join(err, e.peers.Shutdown(ctx))
	return errors.Join(err, e.peer.Close(ctx))
}

// sleep waits for d, or until ctx ends if that is earlier.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
