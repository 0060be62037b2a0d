package jobs_test

import (
	"context"
	"sync"

	rock "bramleyrock"
)

// gate passes on an entry's calls to the platform and the targets. It can freeze
// the entry, so that its calls block until it is thawed and then proceed, or
// kill it, so that all its calls fail.
type gate struct {
	rock.Table
	rock.Target

	mu         sync.Mutex
	thawSignal chan struct{} // closed by thaw; nil unless frozen
	dead       bool
	// freezeAt, if not empty, is the key of a row. The entry freezes when it is
	// about to write that row.
	freezeAt string
}

// freezeAtWriteOf freezes the entry at its next write of the row.
func (g *gate) freezeAtWriteOf(key string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freezeAt = key
}

// freezeIfArmed freezes the entry if the transaction writes the row freezeAt.
func (g *gate) freezeIfArmed(t rock.Transaction) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, w := range t.Writes() {
		if w.Key() == g.freezeAt {
			g.freezeAt, g.thawSignal = "", make(chan struct{})
		}
	}
}

func (g *gate) isFrozen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.thawSignal != nil
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawSignal == nil {
		g.thawSignal = make(chan struct{})
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawSignal != nil {
		close(g.thawSignal)
		g.thawSignal = nil
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	g.dead = true
	g.mu.Unlock()
	g.thaw()
}

// waitWhileFrozen blocks while the entry is frozen. It returns an error if the
// entry was killed.
func (g *gate) waitWhileFrozen() error {
	g.mu.Lock()
	thawed := g.thawSignal
	g.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return rock.Fail("call", "", rock.Unavailable, rock.NotRun).Becausef("the entry is dead")
	}
	return nil
}

// withoutDeadline returns a context for a call that proceeds although its
// deadline is over, like a request that a frozen process had already sent.
func withoutDeadline(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }

func (g *gate) Read(ctx context.Context, keys ...string) ([]rock.Row, error) {
	if err := g.waitWhileFrozen(); err != nil {
		return nil, err
	}
	return g.Table.Read(withoutDeadline(ctx), keys...)
}

func (g *gate) Scan(ctx context.Context, prefix, after string, limit int) ([]rock.Row, error) {
	if err := g.waitWhileFrozen(); err != nil {
		return nil, err
	}
	return g.Table.Scan(withoutDeadline(ctx), prefix, after, limit)
}

func (g *gate) Commit(ctx context.Context, t rock.Transaction) error {
	g.freezeIfArmed(t)
	if err := g.waitWhileFrozen(); err != nil {
		return err
	}
	return g.Table.Commit(withoutDeadline(ctx), t)
}

func (g *gate) Start(ctx context.Context, h rock.Host, t rock.Task) error {
	if err := g.waitWhileFrozen(); err != nil {
		return err
	}
	return g.Target.Start(withoutDeadline(ctx), h, t)
}

func (g *gate) Status(ctx context.Context, h rock.Host, id string) (rock.TaskStatus, error) {
	if err := g.waitWhileFrozen(); err != nil {
		return rock.TaskStatus{}, err
	}
	return g.Target.Status(withoutDeadline(ctx), h, id)
}

func (g *gate) Checkpoint(ctx context.Context, h rock.Host, id string) (rock.TaskStatus, error) {
	if err := g.waitWhileFrozen(); err != nil {
		return rock.TaskStatus{}, err
	}
	return g.Target.Checkpoint(withoutDeadline(ctx), h, id)
}

func (g *gate) Cancel(ctx context.Context, h rock.Host, id string) error {
	if err := g.waitWhileFrozen(); err != nil {
		return err
	}
	return g.Target.Cancel(withoutDeadline(ctx), h, id)
}
