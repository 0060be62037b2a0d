package books

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/feed"
)

// pending is a proposal without an outcome yet.
type pending struct {
	proposedAt time.Time
	proposal   rock.Proposal
	check      func(before *feed.Config) error
	// done is closed once change and err hold the outcome.
	done   chan struct{}
	change rock.Change
	err    error
}

func newPending(now time.Time, p rock.Proposal, check func(before *feed.Config) error) *pending {
	if check == nil {
		check = func(*feed.Config) error { return nil }
	}
	return &pending{proposedAt: now, proposal: p, check: check, done: make(chan struct{})}
}

// finish sets the outcome. It must be called once.
func (p *pending) finish(c rock.Change, err error) {
	p.change, p.err = c, err
	close(p.done)
}

// finished reports whether the outcome is known.
func (p *pending) finished() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// exclusive reports whether the proposal must have a transaction of its own: it is
// a dry run, or it has a guard, which could make the whole transaction fail.
func (p *pending) exclusive() bool {
	g := p.proposal.Guard
	return p.proposal.DryRun || len(g.Conditions()) > 0 || len(g.Writes()) > 0
}
