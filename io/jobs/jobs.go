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

// Jobs manages the jobs of one entry. Its handler is safe for concurrent use
// with [Jobs.Run].
type Jobs struct {
	settings Settings
	wake     chan struct{} // starts a round before the ticker does

	// The fields up to mu are only used by the goroutine of Run.
	sessions          int
	session           string
	lease             lease.Lease
	listVersion       uint64               // version of the held list's row
	expiredSince      map[string]time.Time // by session: when this entry first found it expired
	fullUntil         map[string]time.Time // by pool: end of the backoff after a target refused a task
	lastProgressWrite time.Time
	lastReclaim       time.Time
	lastSweep         time.Time
	stopping          func() bool

	mu      sync.Mutex
	held    map[string]*item // by job id
	waiting []waitingRow     // as read in the last round
}

// New returns a manager that holds no jobs yet.
func New(s Settings) *Jobs {
	j := &Jobs{
		settings:     s.withDefaults(),
		wake:         make(chan struct{}, 1),
		expiredSince: map[string]time.Time{},
		fullUntil:    map[string]time.Time{},
	}
	j.openSession()
	return j
}

// Run claims and advances jobs until ctx is cancelled. It then releases the
// session, so that other entries adopt its jobs; their tasks keep running.
// It returns the error of ctx.
func (s *Jobs) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.settings.Interval)
	defer ticker.Stop()
	for {
		// A round runs to its end even if ctx is cancelled, so that every
		// claimed job gets its task. It only makes no further claims.
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

// openSession replaces the session by a new one without jobs. Its lease is
// acquired in the next round.
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

// round does all periodic work that is due. If the platform is unavailable, it
// only asks the targets for the status of tasks, which renews the tasks' leases.
func (s *Jobs) round(ctx context.Context) error {
	now := s.settings.Now()
	renewErr := s.renewSession(ctx, now)
	s.refreshStatuses(ctx)
	if renewErr != nil {
		clear(s.expiredSince)
		return renewErr
	}
	cancels, err := s.readWaitingAndCancels(ctx)
	if err != nil {
		clear(s.expiredSince)
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

// withCallTimeout returns a context for one call to the platform or a target.
func (s *Jobs) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.settings.CallTimeout)
}

// requestRound starts the next round without waiting for the interval.
func (s *Jobs) requestRound() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// items returns the held jobs in no particular order.
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

// setJob replaces the job of a held item, under the lock because handlers read
// it concurrently.
func (s *Jobs) setJob(i *item, j job.Job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.job = j
}

// removeItem removes a job from the held ones and releases its slot. The outcome
// of the task is reported to the placer.
func (s *Jobs) removeItem(i *item, outcome error) {
	s.mu.Lock()
	delete(s.held, i.job.ID())
	s.mu.Unlock()
	s.releaseSlot(i, outcome)
}

// reserveSlot reserves a slot of the placer for the running task of an adopted
// job, if its host is open and has a free slot by the placer's count.
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

// releaseSlot releases the job's slot at the placer, if one is reserved.
func (s *Jobs) releaseSlot(i *item, outcome error) {
	if !i.slotReserved {
		return
	}
	i.slotReserved = false
	now := s.settings.Now()
	s.settings.Placer.Done(now, i.host.Name(), now.Sub(i.job.StartedAt()), outcome)
}

// host returns the configuration of the job's host, and whether the host still
// accepts work of the job's pool. Without a configuration it returns true.
func (s *Jobs) host(j job.Job) (rock.Host, bool) {
	fleet, ok := s.settings.Fleet.Fleet()
	if !ok {
		return rock.Host{}, true
	}
	h, ok := fleet.Host(j.Host())
	return h, ok && h.Open() && h.Pool() == j.Pool()
}
