package site

import (
	"context"
	"sync"
	"time"

	rock "bramleyrock"
)

// maxBatchJobs bounds the jobs that are stored in one transaction. Each has two
// conditions and a row, and the platform's limit is 100.
const maxBatchJobs = 30

// maxBatchBytes bounds the jobs in one transaction together, but for the last one, which
// keeps it below the platform's limit of 1 MB when it is encoded as base64.
const maxBatchBytes = 512 << 10

// jobBatcher stores jobs that are submitted to a part at about the same time in one
// transaction. Jobs that arrive during a transaction wait for the next one. While the
// table is slow, a part runs only a few transactions per second.
type jobBatcher struct {
	mu      sync.Mutex
	busy    bool
	waiting []*jobWrite
}

// jobWrite is the pending write of one job.
type jobWrite struct {
	transaction rock.Transaction
	done        chan struct{}
	// version and err are the outcome. They are set before done is closed.
	version uint64
	err     error
}

// submit stores a job together with others. It returns the outcome, or an error with
// the verdict [rock.MayHaveRun] if ctx ends first.
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

// run stores the waiting jobs until there are none.
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

// nextBatch removes and returns the writes for the next transaction. Two writes of the
// same job go into different transactions. The caller holds the lock.
func (g *jobBatcher) nextBatch() []*jobWrite {
	var batch, later []*jobWrite
	keys, bytes := map[string]bool{}, 0
	for _, w := range g.waiting {
		first := w.transaction.Writes()[0]
		k := first.Key()
		if len(batch) >= maxBatchJobs || bytes >= maxBatchBytes || keys[k] {
			later = append(later, w)
			continue
		}
		keys[k] = true
		bytes += len(first.Value())
		batch = append(batch, w)
	}
	g.waiting = later
	return batch
}

// apply stores a batch. If the transaction fails because a job exists already, each
// job is stored in its own transaction.
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

// batchTimeout bounds the storing of a batch, out of the 3 s that callers wait.
const batchTimeout = 2 * time.Second

// batcherOf returns the batcher of a part.
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
