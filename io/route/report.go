package route

import (
	"context"
	"slices"
	"time"

	rock "bramleyrock"

	"github.com/uber-go/tally/v4"
)

// reportInterval is the time between updates of the pools' metrics.
const reportInterval = time.Second

// reportPools updates the metrics of each pool periodically, and logs which
// hosts were ejected or readmitted.
func (e *Engine) reportPools(ctx context.Context) error {
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
			e.updateGauges(load, len(names))
			e.logEjected(load.Pool(), ejected[load.Pool()], names)
			ejected[load.Pool()] = names
		}
	}
}

// ejected returns the names of the hosts of the pool that are ejected for their
// failures.
func (e *Engine) ejected(now time.Time, pool string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sched.EjectedHosts(now, pool)
}

// updateGauges sets the gauges of a pool; ejected is the number of its ejected
// hosts.
func (e *Engine) updateGauges(load rock.PoolLoad, ejected int) {
	s := e.settings.Scope.Tagged(map[string]string{"pool": load.Pool()})
	s.Gauge("in_flight").Update(float64(load.InFlight()))
	s.Gauge("queued").Update(float64(load.Queued()))
	s.Gauge("slots").Update(float64(load.Slots()))
	s.Gauge("predicted_wait_seconds").Update(load.Wait().Seconds())
	s.Gauge("ejected_hosts").Update(float64(ejected))
}

// logEjected logs the hosts that were ejected or readmitted since the last
// update.
func (e *Engine) logEjected(pool string, before, after []string) {
	log := e.settings.Log.WithField("pool", pool)
	for _, name := range after {
		if !slices.Contains(before, name) {
			log.WithField("host", name).Warn("The host is ejected: its work fails far more often than that of others.")
		}
	}
	for _, name := range before {
		if !slices.Contains(after, name) {
			log.WithField("host", name).Info("Host readmitted with a low task limit.")
		}
	}
}

// waitBuckets are the histogram buckets of the time that requests wait for a
// host: 16 buckets from 1 ms, each twice the one before.
var waitBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// recordWait records how long a request of the pool waited for a host.
func (e *Engine) recordWait(pool string, wait time.Duration) {
	h, ok := e.waitHistograms.Load(pool)
	if !ok {
		h, _ = e.waitHistograms.LoadOrStore(pool, e.settings.Scope.Tagged(map[string]string{"pool": pool}).Histogram("queue_wait", waitBuckets))
	}
	h.(tally.Histogram).RecordDuration(wait)
}
