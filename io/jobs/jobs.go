package jobs

import (
	"context"
	"fmt"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/job"
	"bramleyrock/core/lease"
)

// Jobs holds the jobs that an entry runs. Its handler is safe for concurrent
// use with [Jobs.Run].
type Jobs struct {
	settings Settings
	wake     chan struct{}

	// The fields below belong to the goroutine of Run.
	sessions          int
	session           string
	lease             lease.Lease
	listVersion       uint64               // version of the row that lists the held jobs
	lapsedSince       map[string]time.Time // since when a session was seen lapsed
	fullUntil         map[string]time.Time // of pools whose targets refused tasks
	lastProgressWrite time.Time
	lastReclaim       time.Time
	lastSweep         time.Time
	stopping          func() bool

	mu      sync.Mutex
	held    map[string]*item
	waiting []waitingRow // as last read
}

// New returns jobs that hold none yet.
func New(s Settings) *Jobs {
	j := &Jobs{
		settings:    s.withDefaults(),
		wake:        make(chan struct{}, 1),
		lapsedSince: map[string]time.Time{},
		fullUntil:   map[string]time.Time{},
	}
	j.openSession()
	return j
}

// Run claims, watches and ends jobs until ctx ends. It then hands its jobs over
// to other entries; their tasks run on.
func (s *Jobs) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.settings.Interval)
	defer ticker.Stop()
	for {
		// A round that has begun is ended, so that no claim is left without its
		// task; only further claims are not made.
		s.stopping = func() bool { return ctx.Err() != nil }
		if err := s.round(context.WithoutCancel(ctx)); err != nil {
			s.settings.Log.WithError(err).Warn("round failed")
			s.settings.Scope.Counter("round_failed").Inc(1)
		}
		select {
		case <-ticker.C:
		case <-s.wake:
		case <-ctx.Done():
			s.releaseSession(context.WithoutCancel(ctx))
			return ctx.Err()
		}
	}
}

// openSession begins a new session, without jobs.
func (s *Jobs) openSession() {
	s.sessions++
	m := s.settings.Member
	s.session = fmt.Sprintf("%s/%s/%d", m.Name(), m.Incarnation(), s.sessions)
	s.lease, _ = lease.Parse(dutyPrefix+s.session, rock.Row{})
	s.listVersion = 0
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = map[string]*item{}
}

// round does all that is due. Without the platform it only looks at the tasks,
// which renews their leases at the targets.
func (s *Jobs) round(ctx context.Context) error {
	now := s.settings.Now()
	kept := s.renewSession(ctx, now)
	s.refreshStatuses(ctx)
	if kept != nil {
		clear(s.lapsedSince)
		return kept
	}
	cancels, err := s.readWaitingAndCancels(ctx)
	if err != nil {
		clear(s.lapsedSince)
		return err
	}
	steps := []func(context.Context) error{
		func(ctx context.Context) error { return s.advanceAll(ctx, cancels) },
		func(ctx context.Context) error { return s.claimAll(ctx, cancels) },
		s.reclaimIfDue,
		s.saveProgressIfDue,
		s.sweepIfDue,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	s.settings.Scope.Gauge("held").Update(float64(len(s.held)))
	return nil
}

// withCallTimeout bounds a call to the platform or a target.
func (s *Jobs) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.settings.CallTimeout)
}

// requestRound makes the next round begin at once.
func (s *Jobs) requestRound() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// items returns the held jobs.
func (s *Jobs) items() []*item {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*item, 0, len(s.held))
	for _, i := range s.held {
		all = append(all, i)
	}
	return all
}

func (s *Jobs) heldItem(id string) (*item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.held[id]
	return i, ok
}

func (s *Jobs) addItem(i *item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[i.job.ID()] = i
}

// setJob replaces the job of a held item. Calls read it under the lock.
func (s *Jobs) setJob(i *item, j job.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.job = j
}

// removeItem stops holding a job and frees its slot.
func (s *Jobs) removeItem(i *item, outcome error) {
	s.mu.Lock()
	delete(s.held, i.job.ID())
	s.mu.Unlock()
	s.releaseSlot(i, outcome)
}

// reserveSlot makes the placer count the task of an adopted job, if the host is open
// and has a free slot by the placer's count.
func (s *Jobs) reserveSlot(i *item) {
	fleet, ok := s.settings.Fleet.Fleet()
	if !ok {
		return
	}
	var others []string
	for _, h := range fleet.PoolHosts(i.job.Pool(), s.settings.Member.Zone()) {
		if h.Name() != i.host.Name() {
			others = append(others, h.Name())
		}
	}
	_, err := s.settings.Placer.Choose(s.settings.Now(), i.job.Pool(), others)
	i.slotReserved = err == nil
}

// releaseSlot takes the job's task off the placer's count.
func (s *Jobs) releaseSlot(i *item, outcome error) {
	if !i.slotReserved {
		return
	}
	i.slotReserved = false
	now := s.settings.Now()
	s.settings.Placer.Done(now, i.host.Name(), now.Sub(i.job.StartedAt()), outcome)
}

// host returns the job's host as configured, and whether it still takes work of
// the job's pool.
func (s *Jobs) host(j job.Job) (rock.Host, bool) {
	fleet, ok := s.settings.Fleet.Fleet()
	if !ok {
		return rock.Host{}, true
	}
	h, ok := fleet.Host(j.Host())
	return h, ok && h.Open() && h.Pool() == j.Pool()
}
