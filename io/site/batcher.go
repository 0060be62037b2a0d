package site

import (
	"context"
	"sync"
	"time"

	rock "bramleyrock"
)

// maxBatchJobs bounds the jobs that are stored in one transaction: each has two
// conditions and a row, of the platform's 100.
const maxBatchJobs = 30

// jobBatcher stores the jobs of a part that are handed in at about the same time
// in one transaction: while one is under way, those that come wait for the
// next. A slow spell of the table leaves a part a few transactions a second.
type jobBatcher struct {
	mu      sync.Mutex
	busy    bool
	waiting []*jobWrite
}

// jobWrite is the write of one job.
type jobWrite struct {
	transaction rock.Transaction
	done        chan struct{}
	// version and err are the outcome once done is closed.
	version uint64
	err     error
}

// submit makes the write, together with others, and waits for its outcome or
// the end of ctx.
func (g *jobBatcher) submit(ctx context.Context, s *Site, t rock.Transaction) (uint64, error) {
	w := &jobWrite{transaction: t, done: make(chan struct{})}
	g.mu.Lock()
	g.waiting = append(g.waiting, w)
	lead := !g.busy
	g.busy = true
	g.mu.Unlock()
	if lead {
		s.work.Go("store jobs", func(ctx context.Context) error {
			g.run(ctx, s)
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

// run makes the writes that wait, until none does.
func (g *jobBatcher) run(ctx context.Context, s *Site) {
	for {
		g.mu.Lock()
		batch := g.nextBatch()
		g.busy = len(batch) > 0
		g.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		g.apply(ctx, s, batch)
	}
}

// nextBatch takes the writes for the next transaction out of those that wait. Two
// copies of a job go into different ones. The caller holds the lock.
func (g *jobBatcher) nextBatch() []*jobWrite {
	var batch, later []*jobWrite
	keys := map[string]bool{}
	for _, w := range g.waiting {
		k := w.transaction.Writes()[0].Key()
		if len(batch) >= maxBatchJobs || keys[k] {
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
func (g *jobBatcher) apply(ctx context.Context, s *Site, batch []*jobWrite) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	var all rock.Transaction
	for _, w := range batch {
		for _, c := range w.transaction.Conditions() {
			all.Require(c.Key(), c.Version())
		}
		for _, p := range w.transaction.Writes() {
			all.Put(p.Key(), p.Value())
		}
	}
	version, err := s.settings.Store.Apply(ctx, all)
	if len(batch) > 1 && rock.ReasonOf(err) == rock.Conflict {
		for _, w := range batch {
			w.version, w.err = s.settings.Store.Apply(ctx, w.transaction)
			close(w.done)
		}
		return
	}
	for _, w := range batch {
		w.version, w.err = version, err
		close(w.done)
	}
}

// batchTimeout bounds the storing of a batch, of the 3 s that callers wait.
const batchTimeout = 2 * time.Second

// batcherOf returns the gatherer of a part.
func (s *Site) batcherOf(part string) *jobBatcher {
	s.batchersMu.Lock()
	defer s.batchersMu.Unlock()
	g := s.batchers[part]
	if g == nil {
		g = &jobBatcher{}
		s.batchers[part] = g
	}
	return g
}
