package site

import (
	"context"
	"sync"
	"time"

	rock "bramleyrock"
)

// gatherRows bounds the jobs that are stored in one transaction: each has two
// conditions and a row, of the platform's 100.
const gatherRows = 30

// gatherer stores the jobs of a part that are handed in at about the same time
// in one transaction: while one is under way, those that come wait for the
// next. A slow spell of the table leaves a part a few transactions a second.
type gatherer struct {
	mu      sync.Mutex
	busy    bool
	waiting []*entryWrite
}

// entryWrite is the write of one job.
type entryWrite struct {
	write rock.Transaction
	done  chan struct{}
	// version and err are the outcome once done is closed.
	version uint64
	err     error
}

// store makes the write, together with others, and waits for its outcome or
// the end of ctx.
func (g *gatherer) store(ctx context.Context, s *Site, t rock.Transaction) (uint64, error) {
	w := &entryWrite{write: t, done: make(chan struct{})}
	g.mu.Lock()
	g.waiting = append(g.waiting, w)
	lead := !g.busy
	g.busy = true
	g.mu.Unlock()
	if lead {
		s.work.Go("store jobs", func(ctx context.Context) error {
			g.drain(ctx, s)
			return nil
		})
	}
	select {
	case <-w.done:
		return w.version, w.err
	case <-ctx.Done():
		return 0, rock.Fail("store", "job", rock.OutcomeUnknown, rock.MayHaveRun).Because(ctx.Err())
	}
}

// drain makes the writes that wait, until none does.
func (g *gatherer) drain(ctx context.Context, s *Site) {
	for {
		g.mu.Lock()
		batch := g.next()
		g.busy = len(batch) > 0
		g.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		g.apply(ctx, s, batch)
	}
}

// next takes the writes for the next transaction out of those that wait. Two
// copies of a job go into different ones. The caller holds the lock.
func (g *gatherer) next() []*entryWrite {
	var batch, later []*entryWrite
	keys := map[string]bool{}
	for _, w := range g.waiting {
		k := w.write.Writes()[0].Key()
		if len(batch) >= gatherRows || keys[k] {
			later = append(later, w)
			continue
		}
		keys[k] = true
		batch = append(batch, w)
	}
	g.waiting = later
	return batch
}

// apply stores a batch. If one of its jobs exists already, each is stored by
// itself.
func (g *gatherer) apply(ctx context.Context, s *Site, batch []*entryWrite) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var all rock.Transaction
	for _, w := range batch {
		for _, c := range w.write.Conditions() {
			all.Require(c.Key(), c.Version())
		}
		for _, p := range w.write.Writes() {
			all.Put(p.Key(), p.Value())
		}
	}
	version, err := s.settings.Store.Apply(ctx, all)
	if len(batch) > 1 && rock.ReasonOf(err) == rock.Conflict {
		for _, w := range batch {
			w.version, w.err = s.settings.Store.Apply(ctx, w.write)
			close(w.done)
		}
		return
	}
	for _, w := range batch {
		w.version, w.err = version, err
		close(w.done)
	}
}

// gatherTimeout bounds the storing of a batch, of the 3 s that callers wait.
const gatherTimeout = 2 * time.Second

// gathererOf returns the gatherer of a part.
func (s *Site) gathererOf(part string) *gatherer {
	s.gatherMu.Lock()
	defer s.gatherMu.Unlock()
	g := s.gatherers[part]
	if g == nil {
		g = &gatherer{}
		s.gatherers[part] = g
	}
	return g
}
