package route

import (
	"context"
	"slices"
	"time"

	rock "bramleyrock"

	"github.com/uber-go/tally/v4"
)

// reportInterval is the time between reports on the pools.
const reportInterval = time.Second

// report tells the state of each pool in metrics, and in the log which hosts
// are ejected and which have come back.
func (e *Engine) report(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	ejected := map[string][]string{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		now := e.settings.Now()
		for _, load := range e.Loads(now) {
			names := e.ejected(now, load.Pool())
			e.gauge(load, len(names))
			e.logEjected(load.Pool(), ejected[load.Pool()], names)
			ejected[load.Pool()] = names
		}
	}
}

// ejected returns the names of the pool's ejected hosts.
func (e *Engine) ejected(now time.Time, pool string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sched.EjectedHosts(now, pool)
}

// gauge sets the gauges of a pool.
func (e *Engine) gauge(load rock.PoolLoad, ejected int) {
	s := e.settings.Scope.Tagged(map[string]string{"pool": load.Pool()})
	s.Gauge("in_flight").Update(float64(load.InFlight()))
	s.Gauge("queued").Update(float64(load.Queued()))
	s.Gauge("slots").Update(float64(load.Slots()))
	s.Gauge("predicted_wait_seconds").Update(load.Wait().Seconds())
	s.Gauge("ejected_hosts").Update(float64(ejected))
}

// logEjected logs the hosts that were ejected or came back since the last
// report.
func (e *Engine) logEjected(pool string, before, after []string) {
	log := e.settings.Log.WithField("pool", pool)
	for _, name := range after {
		if !slices.Contains(before, name) {
			log.WithField("host", name).Warn("The host is ejected: its work fails far more often than that of others.")
		}
	}
	for _, name := range before {
		if !slices.Contains(after, name) {
			log.WithField("host", name).Info("The host is given little work again.")
		}
	}
}

// waitBuckets are the buckets of the time that requests wait for a host.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// noteWait records how long a request of the pool waited for a host.
func (e *Engine) noteWait(pool string, wait time.Duration) {
	h, ok := e.waits.Load(pool)
	if !ok {
		h, _ = e.waits.LoadOrStore(pool, e.settings.Scope.Tagged(map[string]string{"pool": pool}).Histogram("queue_wait", waitBuckets))
	}
	h.(tally.Histogram).RecordDuration(wait)
}
