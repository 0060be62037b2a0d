package trace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// delayFactor is how much longer the 99th percentile of a pool's queueing
	// delay may be during another pool's surge.
	delayFactor = 1.2
	// delayResolution is the least difference between delays that counts.
	delayResolution = time.Millisecond
	// minRateShare is the share of its rate that a surging pool has to answer.
	minRateShare  = 0.95
	delayQuantile = 0.99
)

// isolation: from the start of a pool's surge on, the 99th percentile of the
// other pools' queueing delay stays within 1.2 times of their baseline, and the
// surging pool answers at least 95% of its baseline's rate during the surge.
// Pools without a baseline are not judged. A request that is refused without
// being sent counts as delayed for ever.
func isolation(h *history, r *report) {
	baselines := map[string]Event{}
	for _, e := range h.events {
		if e.Kind == Baseline {
			baselines[e.Pool] = e
		}
	}
	for _, e := range h.events {
		if e.Kind != SurgeStarted {
			continue
		}
		for _, b := range sortedByPool(baselines) {
			if b.Pool != e.Pool {
				h.checkDelay(e, b, r)
				continue
			}
			h.checkRate(e, b, r)
		}
	}
}

// sortedByPool returns the events in order of pool.
func sortedByPool(baselines map[string]Event) []Event {
	var all []Event
	for _, b := range baselines {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b Event) int { return cmp.Compare(a.Pool, b.Pool) })
	return all
}

// queueingDelay is a request's arrival and its queueing delay.
type queueingDelay struct {
	arrival Event
	delay   time.Duration
}

// checkDelay judges the delays of a pool next to a surging one.
func (h *history) checkDelay(surge, baseline Event, r *report) {
	delays := h.delays(baseline.Pool, surge.At)
	if len(delays) == 0 {
		return
	}
	rank := int(math.Ceil(delayQuantile*float64(len(delays)))) - 1
	got := delays[rank]
	base := time.Duration(baseline.DelayMS * float64(time.Millisecond))
	limit := max(time.Duration(delayFactor*float64(base)), base+delayResolution)
	if got.delay > limit {
		r.add(got.arrival, "99th percentile of the delay in pool %s is %v during the surge of %s, without it %v",
			baseline.Pool, got.delay, surge.Pool, base)
	}
}

// delays returns the delays of the pool's requests that arrived since the
// time, shortest first.
func (h *history) delays(pool string, since time.Time) []queueingDelay {
	sent := map[string]time.Time{}
	for _, e := range h.events {
		if _, ok := sent[e.RequestID]; e.Kind == Sent && !ok {
			sent[e.RequestID] = e.At
		}
	}
	finals := h.finalEvents()
	var all []queueingDelay
	for _, e := range h.events {
		if e.Kind != Arrived || e.Pool != pool || e.At.Before(since) {
			continue
		}
		if at, ok := sent[e.RequestID]; ok {
			all = append(all, queueingDelay{e, at.Sub(e.At)})
		} else if finals[e.RequestID].Kind == Refused {
			all = append(all, queueingDelay{e, math.MaxInt64})
		}
	}
	slices.SortStableFunc(all, func(a, b queueingDelay) int { return cmp.Compare(a.delay, b.delay) })
	return all
}

// checkRate judges the useful answers of the surging pool.
func (h *history) checkRate(surge, baseline Event, r *report) {
	answers := 0
	for _, e := range h.events {
		switch {
		case e.At.Before(surge.At):
			continue
		case e.Kind == Answered && h.arrivals[e.RequestID].Pool == surge.Pool:
			answers++
		case e.Kind == SurgeEnded && e.Pool == surge.Pool:
			rate := float64(answers) / e.At.Sub(surge.At).Seconds()
			if rate < minRateShare*baseline.Rate {
				r.add(e, "pool %s answered %.1f requests a second during its surge, its slots allow %.1f",
					surge.Pool, rate, baseline.Rate)
			}
			return
		}
	}
}
