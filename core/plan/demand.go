package plan

import (
	"math"
	"time"
)

// maxSampleTime is the maximum time for which one sample counts.
const maxSampleTime = time.Minute

// Demand is the distribution over time of the number of slots that a pool needed.
// The weight of past time decays exponentially. The zero value is empty and ready
// to use.
type Demand struct {
	// secondsAt holds, for each number of slots, the weighted time for which the
	// pool needed that many.
	secondsAt          []float64
	totalSeconds       float64
	unavailableSeconds float64
	sampledAt          time.Time
}

// Observe records that the pool needs that many slots and that the given share of
// its hosts is unavailable. The sample counts for the time since the previous one.
// Past time loses half of its weight every half-life.
func (d *Demand) Observe(now time.Time, halfLife time.Duration, slots, unavailableShare float64) {
	gap := min(now.Sub(d.sampledAt), maxSampleTime)
	if d.sampledAt.IsZero() || gap <= 0 {
		gap = time.Second
	}
	d.sampledAt = now
	decay := math.Exp2(-gap.Seconds() / halfLife.Seconds())
	for i := range d.secondsAt {
		d.secondsAt[i] *= decay
	}
	bin := int(math.Ceil(max(0, slots)))
	for len(d.secondsAt) <= bin {
		d.secondsAt = append(d.secondsAt, 0)
	}
	d.secondsAt[bin] += gap.Seconds()
	d.totalSeconds = d.totalSeconds*decay + gap.Seconds()
	d.unavailableSeconds = d.unavailableSeconds*decay + gap.Seconds()*unavailableShare
}

// Observed returns the weighted time for which the pool was observed.
func (d *Demand) Observed() time.Duration {
	return time.Duration(d.totalSeconds * float64(time.Second))
}

// Mean returns the mean number of slots that the pool needed.
func (d *Demand) Mean() float64 {
	if d.totalSeconds == 0 {
		return 0
	}
	sum := 0.0
	for n, s := range d.secondsAt {
		sum += float64(n) * s
	}
	return sum / d.totalSeconds
}

// Shortfall returns the mean number of slots that a pool with that many slots is
// short of, given the mean share of its hosts that is unavailable.
func (d *Demand) Shortfall(slots float64) float64 {
	if d.totalSeconds == 0 {
		return 0
	}
	usable := slots * (1 - d.unavailableSeconds/d.totalSeconds)
	sum := 0.0
	for n := int(max(0, usable)); n < len(d.secondsAt); n++ {
		sum += max(0, float64(n)-usable) * d.secondsAt[n]
	}
	return sum / d.totalSeconds
}

// Idle returns the mean number of idle slots, the buffer, of a pool with that many
// slots.
func (d *Demand) Idle(slots float64) float64 { return slots - d.Mean() + d.Shortfall(slots) }

// MinHosts returns the minimum number of hosts with which the mean shortfall is at
// most the given share of the slots that the pool needs.
func (d *Demand) MinHosts(slotsPerHost int, share float64) int {
	limit := share * d.Mean()
	for n := 1; ; n++ {
		if slots := float64(n * slotsPerHost); d.Shortfall(slots) <= limit || int(slots) > 2*len(d.secondsAt) {
			return n
		}
	}
}
