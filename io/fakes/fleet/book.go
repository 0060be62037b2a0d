package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/feed"
)

// Book implements [rock.Changer] and [rock.FleetSource] in memory. It is safe
// for concurrent use.
type Book struct {
	reviewer rock.Reviewer

	mu      sync.Mutex
	config  *feed.Config
	changes map[string]rock.Change
	// guard checks the conditions of a proposal's guard; nil allows all.
	guard func(rock.Transaction) error
	// accepted is told of every change; nil for nobody.
	accepted func(rock.Change)
	// lose is the number of coming changes whose answer is lost.
	lose int
}

var (
	_ rock.Changer     = (*Book)(nil)
	_ rock.FleetSource = (*Book)(nil)
)

// NewBook returns a book that holds the records at revision 1, each with
// version 1. The reviewer may be nil. It panics if a record is malformed.
func NewBook(reviewer rock.Reviewer, records ...rock.Record) *Book {
	for i, r := range records {
		records[i] = r.WithVersion(1)
	}
	config, err := feed.Build(1, records)
	if err != nil {
		panic(err)
	}
	if unread := config.DecodeErrors(); len(unread) > 0 {
		panic(fmt.Sprint(unread))
	}
	return &Book{reviewer: reviewer, config: config, changes: map[string]rock.Change{}}
}

// Guard makes check decide whether the guard of a proposal holds.
func (b *Book) Guard(check func(rock.Transaction) error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.guard = check
}

// Accepted makes tell be called with every accepted change.
func (b *Book) Accepted(tell func(rock.Change)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accepted = tell
}

// LoseAnswers makes the next n changes take effect without an answer.
func (b *Book) LoseAnswers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lose = n
}

// Fleet implements [rock.FleetSource].
func (b *Book) Fleet() (rock.Fleet, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config, true
}

// FindChange implements [rock.Changer].
func (b *Book) FindChange(_ context.Context, id string) (rock.Change, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.changes[id]
	if !ok {
		return rock.Change{}, rock.Fail("settle", "change "+id, rock.NotFound, rock.NotRun)
	}
	return c, nil
}

// Change implements [rock.Changer].
func (b *Book) Change(_ context.Context, now time.Time, p rock.Proposal) (rock.Change, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.changes[p.ID]; ok {
		return c, nil
	}
	if b.guard != nil {
		if err := b.guard(p.Guard); err != nil {
			return rock.Change{}, err
		}
	}
	edits, err := b.edits(p)
	if err != nil {
		return rock.Change{}, err
	}
	if b.reviewer != nil {
		if err := b.reviewer.Review(now, b.config, edits); err != nil {
			return rock.Change{}, err
		}
	}
	if p.DryRun {
		return rock.Change{}, nil
	}
	return b.accept(now, p, edits)
}

// edits returns the edits of the proposal, or a conflict.
func (b *Book) edits(p rock.Proposal) ([]rock.Edit, error) {
	var edits []rock.Edit
	for _, r := range slices.Concat(p.Records, p.Deletes) {
		was, ok := b.config.Record(r.Key())
		if was.Version() != r.Version() {
			return nil, rock.Fail("change", r.Key().String(), rock.Conflict, rock.NotRun).
				Becausef("record has version %d, not %d", was.Version(), r.Version())
		}
		var from, to *rock.Record
		if ok {
			from = &was
		}
		if len(edits) < len(p.Records) {
			next := r.WithVersion(r.Version() + 1)
			to = &next
		}
		edits = append(edits, rock.NewEdit(r.Key(), from, to))
	}
	return edits, nil
}

func (b *Book) accept(now time.Time, p rock.Proposal, edits []rock.Edit) (rock.Change, error) {
	c := rock.NewChange(p.ID, b.config.Revision()+1, now, p.Who, p.Why, edits)
	config, err := b.config.Apply(c)
	if err != nil {
		return rock.Change{}, rock.Fail("change", p.ID, rock.BadInput, rock.NotRun).Because(err)
	}
	b.config = config
	b.changes[p.ID] = c
	if b.accepted != nil {
		b.accepted(c)
	}
	if b.lose > 0 {
		b.lose--
		return rock.Change{}, rock.Fail("change", p.ID, rock.OutcomeUnknown, rock.MayHaveRun)
	}
	return c, nil
}
