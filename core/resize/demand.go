package resize

import (
	"math"
	"time"
)

const (
	// fastWindow is the time over which the rate of arrivals is taken: short
	// against a surge of 4 s, long against the 20 ms between its jobs.
	fastWindow = 600 * time.Millisecond
	// slowWindow is the time over which the rate is taken that the other is
	// compared with.
	slowWindow = 1800 * time.Millisecond
	// trend is how far the difference of the two rates is carried on. A steady
	// rise makes it 1.2 s of that rise, and the first rate is 0.6 s late, so
	// this looks 5.4 s ahead: a host that is sent now is there after 2 s, and the
	// platform takes 64 moves a second, fewer than a large pool needs in a rise.
	trend = 5.0
	// noise is the share of the mean rate that the difference must exceed:
	// arrivals are uneven.
	noise = 0.1
	// readyTime is the time in which the work that can run at once should be
	// done, about the duration of a task.
	readyTime = 1200 * time.Millisecond
	// fallTime is the time in which a demand that is over is forgotten: a host
	// that has moved may not move again for 3 s, so one that is sent to standby
	// is of no use to the next surge.
	fallTime = 4 * time.Second
	// headroom is the capacity wanted for a unit of demand. Tasks do not fit
	// a host exactly, and jobs come unevenly.
	headroom = 1.15
)

// rate is a decaying sum of arrivals.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) now(now time.Time, window time.Duration) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/window.Seconds())
}

func (r *rate) add(now time.Time, work float64, window time.Duration) {
	r.value = r.now(now, window) + work/window.Seconds()
	r.at = now
}

// Demand estimates the capacity that a pool needs. The zero value is ready to
// use.
type Demand struct {
	fast   rate
	slow   rate
	keep   float64
	keepAt time.Time
}

// AddArrival notes a job of that much work, in core-seconds.
func (d *Demand) AddArrival(now time.Time, work float64) {
	d.fast.add(now, work, fastWindow)
	d.slow.add(now, work, slowWindow)
}

// ForecastRate returns the work that will arrive when a host sent now is there, in
// cores: the present rate, and more if it rises.
func (d *Demand) ForecastRate(now time.Time) float64 {
	fast, slow := d.fast.now(now, fastWindow), d.slow.now(now, slowWindow)
	return fast + trend*max(0, fast-(1+noise)*slow)
}

// RecentRate returns the rate at which work has arrived lately, in cores.
func (d *Demand) RecentRate(now time.Time) float64 { return d.slow.now(now, slowWindow) }

// Estimate returns the cores that the pool needs, and those that it may need again
// soon. Ready is the work that could run at once, in core-seconds; lasting are
// the cores of tasks that last.
func (d *Demand) Estimate(now time.Time, ready, lasting float64) (want, keep float64) {
	want = lasting + headroom*max(d.ForecastRate(now), ready/readyTime.Seconds())
	keep = want
	if !d.keepAt.IsZero() {
		keep = max(want, d.keep*math.Exp(-now.Sub(d.keepAt).Seconds()/fallTime.Seconds()))
	}
	d.keep, d.keepAt = keep, now
	return want, keep
}
