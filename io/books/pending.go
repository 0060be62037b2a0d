package books

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/feed"
)

// pending is a proposal that waits for its outcome.
type pending struct {
	proposedAt time.Time
	proposal   rock.Proposal
	check      func(before *feed.Config) error
	done       chan struct{}
	change     rock.Change
	err        error
}

func newPending(now time.Time, p rock.Proposal, check func(before *feed.Config) error) *pending {
	if check == nil {
		check = func(*feed.Config) error { return nil }
	}
	return &pending{proposedAt: now, proposal: p, check: check, done: make(chan struct{})}
}

// finish gives the outcome.
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

// exclusive reports whether the proposal must have a transaction of its own.
func (p *pending) exclusive() bool {
	g := p.proposal.Guard
	return p.proposal.DryRun || len(g.Conditions()) > 0 || len(g.Writes()) > 0
}
