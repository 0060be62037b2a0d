package work

import (
	"context"
	"errors"
	"sync"
	"time"

	rock "bramleyrock"
)

// Fleet is many workers in memory. It implements [rock.Target] and is safe for
// concurrent use.
type Fleet struct {
	mu      sync.Mutex
	workers map[string]*Worker
}

// NewFleet returns a fleet of the workers.
func NewFleet(workers ...*Worker) *Fleet {
	f := &Fleet{workers: map[string]*Worker{}}
	for _, w := range workers {
		f.Add(w)
	}
	return f
}

// Add adds a worker, or replaces the one of the same name.
func (f *Fleet) Add(w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[w.Name()] = w
}

// Worker returns the worker of that name, or nil.
func (f *Fleet) Worker(name string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers[name]
}

// Runs returns the ledgers of all workers, by worker and in order.
func (f *Fleet) Runs() map[string][]Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	runs := make(map[string][]Run, len(f.workers))
	for name, w := range f.workers {
		runs[name] = w.Runs()
	}
	return runs
}

// reach returns the host's worker, or a failure with verdict not_run.
func (f *Fleet) reach(op string, host rock.Host) (*Worker, error) {
	w := f.Worker(host.Name())
	if w == nil || w.Faults().Down {
		return nil, rock.Fail(op, host.Name(), rock.Unavailable, rock.NotRun).Becausef("connection refused")
	}
	return w, nil
}

// Run implements [rock.Target]. A task whose caller gives up is cancelled,
// unless the worker is silent.
func (f *Fleet) Run(ctx context.Context, host rock.Host, t rock.Task) (rock.Answer, error) {
	w, err := f.reach("run", host)
	if err != nil {
		return rock.Answer{}, err
	}
	if ctx.Err() != nil {
		return rock.Answer{}, failContext("run", host.Name(), rock.NotRun, ctx.Err())
	}
	s := w.settings
	hit, err := w.start(s.Now(), t, 1)
	if err != nil {
		return rock.Answer{}, err
	}
	defer func() { w.release(s.Now(), t.ID()) }()
	if err := w.await(ctx, t.ID(), hit); err != nil {
		if !hit.Silent && !hit.LostTrack {
			w.stop(s.Now(), t.ID())
		}
		return rock.Answer{}, failContext("run", host.Name(), rock.MayHaveRun, err)
	}
	return w.collect(s.Now(), t.ID(), hit)
}

// await waits until the task has ended and its answer is due. A silent worker
// never answers.
func (w *Worker) await(ctx context.Context, id string, hit Faults) error {
	if hit.Silent || hit.LostTrack {
		<-ctx.Done()
		return ctx.Err()
	}
	s := w.settings
	late := time.Duration(hit.LateMS) * time.Millisecond
	return s.Sleep(ctx, w.remaining(s.Now(), id)+late)
}

// collect returns the answer of an ended task.
func (w *Worker) collect(now time.Time, id string, hit Faults) (rock.Answer, error) {
	fail := func(r rock.Reason) *rock.Failure {
		return rock.Fail("run", w.settings.Name, r, rock.MayHaveRun)
	}
	if hit.CutShort {
		return rock.Answer{}, fail(rock.Truncated).Becausef("answer was cut short")
	}
	if hit.Swap && w.swapped(id) != id {
		return rock.Answer{}, fail(rock.Truncated).Becausef("answer belongs to task %s", w.swapped(id))
	}
	status, err := w.status(now, id)
	if err != nil {
		return rock.Answer{}, err
	}
	switch status.State() {
	case rock.TaskDone:
		return rock.NewAnswer(id, w.settings.Name, status.Result()), nil
	case rock.TaskCancelled:
		return rock.Answer{}, fail(rock.Expired).Becausef("target stopped the task")
	}
	return rock.Answer{}, fail(rock.WorkFailed)
}

// Start implements [rock.Target].
func (f *Fleet) Start(ctx context.Context, host rock.Host, t rock.Task) error {
	w, err := f.reach("start", host)
	if err != nil {
		return err
	}
	hit, err := w.start(w.settings.Now(), t, 0)
	if err != nil {
		return err
	}
	return w.silence(ctx, "start", hit.Silent || hit.LostTrack, rock.MayHaveRun)
}

// silence waits for the end of ctx if the worker is silent.
func (w *Worker) silence(ctx context.Context, op string, silent bool, v rock.Verdict) error {
	if !silent {
		return nil
	}
	<-ctx.Done()
	return failContext(op, w.settings.Name, v, ctx.Err())
}

// Status implements [rock.Target].
func (f *Fleet) Status(ctx context.Context, host rock.Host, id string) (rock.TaskStatus, error) {
	w, err := f.answering(ctx, "status", host)
	if err != nil {
		return rock.TaskStatus{}, err
	}
	return w.status(w.settings.Now(), id)
}

// Checkpoint implements [rock.Target].
func (f *Fleet) Checkpoint(ctx context.Context, host rock.Host, id string) (rock.TaskStatus, error) {
	w, err := f.answering(ctx, "checkpoint", host)
	if err != nil {
		return rock.TaskStatus{}, err
	}
	return w.saveState(w.settings.Now(), id)
}

// Cancel implements [rock.Target].
func (f *Fleet) Cancel(ctx context.Context, host rock.Host, id string) error {
	w, err := f.answering(ctx, "cancel", host)
	if err != nil {
		return err
	}
	_, err = w.cancel(w.settings.Now(), id)
	return err
}

// Usage implements [rock.Target].
func (f *Fleet) Usage(ctx context.Context, host rock.Host) (rock.Usage, error) {
	w, err := f.answering(ctx, "usage", host)
	if err != nil {
		return rock.Usage{}, err
	}
	return w.Usage(w.settings.Now()), nil
}

// answering returns the host's worker once it answers calls about tasks.
func (f *Fleet) answering(ctx context.Context, op string, host rock.Host) (*Worker, error) {
	w, err := f.reach(op, host)
	if err != nil {
		return nil, err
	}
	return w, w.silence(ctx, op, w.Faults().Silent, rock.MayHaveRun)
}

// failContext returns the failure of a call whose context ended.
func failContext(op, subject string, v rock.Verdict, err error) error {
	reason := rock.Cancelled
	if errors.Is(err, context.DeadlineExceeded) {
		reason = rock.DeadlineExceeded
	}
	return rock.Fail(op, subject, reason, v).Because(err)
}
