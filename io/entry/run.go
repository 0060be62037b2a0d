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

// Run answers requests until ctx ends, and then stops gracefully. When hard
// ends, it cuts what is still in flight and returns an error that says so.
func (e *Entry) Run(ctx, hard context.Context) error {
	e.duties.Go("caller door", e.caller.Serve)
	e.duties.Go("operator door", e.operator.Serve)
	e.duties.Go("peer door", e.peer.Serve)
	e.duties.Go("follow", e.books.Follow)
	e.duties.Go("links", e.links.Run)
	e.duties.Go("roster", e.roster.Run)
	e.duties.Go("duties", e.runner.Run)
	e.duties.Go("register", e.register)
	e.duties.Go("jobs", e.runJobs)
	select {
	case <-ctx.Done():
	case <-e.duties.Context().Done():
	}
	err := e.stop(hard)
	e.duties.Stop()
	err = errors.Join(err, e.duties.Wait(), e.meter.Close())
	e.targets.Close()
	return err
}

// fenced ends the entry because a newer process has taken over its name.
func (e *Entry) fenced(by rock.EntryStatus) {
	e.duties.Go("fence", func(context.Context) error {
		return rock.Fail("keep", "entry "+e.member.Name(), rock.Fenced, rock.NotRun).
			Becausef("incarnation %s at %s is newer", by.Member().Incarnation(), by.Member().Address())
	})
}

// report returns what the entry's status row says.
func (e *Entry) report() roster.Report {
	return roster.Report{Revision: e.books.Revision(), InFlight: e.engine.InFlight(time.Now())}
}

// stop ends all that is in flight and says so to peers and platform.
func (e *Entry) stop(hard context.Context) error {
	log := e.settings.Log.WithField(logs.PartField, "entry")
	log.Info("The entry is leaving.")
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
	wait(ctx, e.settings.BalancerDelay)
	left := e.engine.Drain(ctx)
	err := e.closeDoors(ctx)
	if gone := e.roster.Announce(ctx, rock.EntryGone); gone != nil {
		log.WithError(gone).Warn("The status row could not be marked as gone.")
	}
	if left > 0 {
		return errors.Join(fmt.Errorf("stop entry %s: %d requests in flight were cut", e.settings.Name, left), err)
	}
	log.Info("The entry is gone; nothing was cut.")
	return err
}

// closeDoors closes the doors, the peer door last, so that answers to peers
// still leave.
func (e *Entry) closeDoors(ctx context.Context) error {
	g := group.New(context.WithoutCancel(ctx))
	g.Go("caller door", func(context.Context) error { return e.caller.Close(ctx) })
	g.Go("operator door", func(context.Context) error { return e.operator.Close(ctx) })
	err := g.Wait()
	err = errors.Join(err, e.peers.Shutdown(ctx))
	return errors.Join(err, e.peer.Close(ctx))
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
