package plan

import (
	"math"
	"time"
)

// maxGap is the longest time for which one sample counts.
const maxGap = time.Minute

// Demand is how many slots a pool needed, and for which share of the time,
// with older times counting less. The zero value has seen nothing.
type Demand struct {
	// seconds gives, for each number of slots, the weighted time for which the
	// pool needed that many.
	seconds []float64
	total   float64
	away    float64
	at      time.Time
}

// Observe notes that the pool needs that many slots from now on, and that a
// share of its hosts is away.
func (d *Demand) Observe(now time.Time, halfLife time.Duration, slots, awayShare float64) {
	gap := min(now.Sub(d.at), maxGap)
	if d.at.IsZero() || gap <= 0 {
		gap = time.Second
	}
	d.at = now
	keep := math.Exp2(-gap.Seconds() / halfLife.Seconds())
	for i := range d.seconds {
		d.seconds[i] *= keep
	}
	bin := int(math.Ceil(max(0, slots)))
	for len(d.seconds) <= bin {
		d.seconds = append(d.seconds, 0)
	}
	d.seconds[bin] += gap.Seconds()
	d.total = d.total*keep + gap.Seconds()
	d.away = d.away*keep + gap.Seconds()*awayShare
}

// Observed returns the weighted time for which the pool was seen.
func (d *Demand) Observed() time.Duration { return time.Duration(d.total * float64(time.Second)) }

// Mean returns the mean number of slots needed.
func (d *Demand) Mean() float64 {
	if d.total == 0 {
		return 0
	}
	sum := 0.0
	for n, s := range d.seconds {
		sum += float64(n) * s
	}
	return sum / d.total
}

// Shortfall returns the mean number of slots that a pool with that many slots
// lacks, given the share of its hosts that is away at times.
func (d *Demand) Shortfall(slots float64) float64 {
	if d.total == 0 {
		return 0
	}
	usable := slots * (1 - d.away/d.total)
	sum := 0.0
	for n := int(max(0, usable)); n < len(d.seconds); n++ {
		sum += max(0, float64(n)-usable) * d.seconds[n]
	}
	return sum / d.total
}

// Idle returns the mean number of slots that a pool with that many slots holds
// idle: its buffer.
func (d *Demand) Idle(slots float64) float64 { return slots - d.Mean() + d.Shortfall(slots) }

// MinHosts returns the least number of hosts with which the pool lacks at most
// that share of the slots that it needs.
func (d *Demand) MinHosts(slotsPerHost int, share float64) int {
	limit := share * d.Mean()
	for n := 1; ; n++ {
		if slots := float64(n * slotsPerHost); d.Shortfall(slots) <= limit || int(slots) > 2*len(d.seconds) {
			return n
		}
	}
}
