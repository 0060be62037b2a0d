package resize

import (
	"math"
	"time"
)

const (
	// fastWindow is the time constant of the current arrival rate: short against
	// a surge of 4 s, long against the 20 ms between its jobs.
	fastWindow = 600 * time.Millisecond
	// slowWindow is the time constant of the rate that the current rate is
	// compared with to find its trend.
	slowWindow = 1800 * time.Millisecond
	// trendFactor multiplies the difference of the two rates in the forecast. In
	// a steady rise that difference is 1.2 s of the rise and the fast rate lags
	// by 0.6 s, so the forecast looks 5.4 s ahead. A host that is ordered now
	// arrives after 2 s, and the platform takes 64 moves a second, fewer than a
	// large pool needs in a rise.
	trendFactor = 5.0
	// noiseMargin is the share of the slow rate by which the fast rate must
	// exceed it to count as a rise, since arrivals are uneven.
	noiseMargin = 0.1
	// backlogTime is the time in which the work that could run now should be
	// completed: about the duration of a task.
	backlogTime = 1200 * time.Millisecond
	// decayTime is the time constant with which past demand decays. A host that
	// has moved may not move again for 3 s, so a host that is sent to standby
	// too early is of no use to the next surge.
	decayTime = 4 * time.Second
	// headroom is the capacity per unit of demand. Tasks do not fill a host
	// exactly, and jobs arrive unevenly.
	headroom = 1.15
)

// decayingRate is an exponentially decaying average of arriving work, in cores.
type decayingRate struct {
	value     float64
	updatedAt time.Time
}

func (r *decayingRate) valueAt(now time.Time, window time.Duration) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.updatedAt).Seconds()/window.Seconds())
}

func (r *decayingRate) add(now time.Time, work float64, window time.Duration) {
	r.value = r.valueAt(now, window) + work/window.Seconds()
	r.updatedAt = now
}

// Demand estimates the capacity that a pool needs. The zero value is ready to
// use.
type Demand struct {
	fast       decayingRate
	slow       decayingRate
	retained   float64
	retainedAt time.Time
}

// AddArrival records the arrival of a job of that much work, in core-seconds.
func (d *Demand) AddArrival(now time.Time, work float64) {
	d.fast.add(now, work, fastWindow)
	d.slow.add(now, work, slowWindow)
}

// ForecastRate returns the arrival rate, in cores, that is expected when a host
// that is ordered now arrives: the current rate, extrapolated if it rises.
func (d *Demand) ForecastRate(now time.Time) float64 {
	fast, slow := d.fast.valueAt(now, fastWindow), d.slow.valueAt(now, slowWindow)
	return fast + trendFactor*max(0, fast-(1+noiseMargin)*slow)
}

// RecentRate returns the recent arrival rate, in cores.
func (d *Demand) RecentRate(now time.Time) float64 { return d.slow.valueAt(now, slowWindow) }

// Estimate returns the number of cores that the pool needs (want) and the number
// that it should retain for demand that may return soon (retained). Runnable is the
// work that could run now, in core-seconds. Persistent is the number of cores of
// tasks that run until they are cancelled.
func (d *Demand) Estimate(now time.Time, runnable, persistent float64) (want, retained float64) {
	want = persistent + headroom*max(d.ForecastRate(now), runnable/backlogTime.Seconds())
	retained = want
	if !d.retainedAt.IsZero() {
		retained = max(want, d.retained*math.Exp(-now.Sub(d.retainedAt).Seconds()/decayTime.Seconds()))
	}
	d.retained, d.retainedAt = retained, now
	return want, retained
}
