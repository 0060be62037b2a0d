package trace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// delayFactor is the greatest allowed ratio of the 99th percentile of a pool's
	// queueing delay during another pool's surge to its baseline.
	delayFactor = 1.2
	// delayResolution is the increase of a delay over its baseline that is always
	// allowed.
	delayResolution = time.Millisecond
	// minRateShare is the share of its baseline rate that a surging pool must at
	// least answer.
	minRateShare = 0.95
	// delayQuantile is the quantile of the queueing delays that is checked.
	delayQuantile = 0.99
)

// isolation checks that the surge of one pool does not affect the others: from the
// start of the surge on, the 99th percentile of every other pool's queueing delay
// stays within [delayFactor] times its baseline, and the surging pool answers
// requests at [minRateShare] of its baseline rate or more during the surge. Pools
// without a baseline are not checked. A request that is refused without being sent
// counts as delayed for ever.
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

// sortedByPool returns the events sorted by pool.
func sortedByPool(baselines map[string]Event) []Event {
	var all []Event
	for _, b := range baselines {
		all = append(all, b)
	}
	slices.SortFunc(all, func(a, b Event) int { return cmp.Compare(a.Pool, b.Pool) })
	return all
}

// queueingDelay is a request's arrival and its delay until it was first sent.
type queueingDelay struct {
	arrival Event
	delay   time.Duration
}

// checkDelay reports a violation if the queueing delay of the baseline's pool is too
// long from the start of another pool's surge on.
func (h *history) checkDelay(surge, baseline Event, r *report) {
	delays := h.delays(baseline.Pool, surge.At)
	if len(delays) == 0 {
		return
	}
	rank := int(math.Ceil(delayQuantile*float64(len(delays)))) - 1
	measured := delays[rank]
	base := time.Duration(baseline.DelayMS * float64(time.Millisecond))
	limit := max(time.Duration(delayFactor*float64(base)), base+delayResolution)
	if measured.delay > limit {
		r.add(measured.arrival, "99th percentile of the delay in pool %s is %v during the surge of %s, without it %v",
			baseline.Pool, measured.delay, surge.Pool, base)
	}
}

// delays returns the queueing delays of the pool's requests that arrived at the
// time since or later, shortest first.
func (h *history) delays(pool string, since time.Time) []queueingDelay {
	sent := map[string]time.Time{}
	for _, e := range h.events {
		if _, ok := sent[e.RequestID]; e.Kind == Sent && !ok {
			sent[e.RequestID] = e.At
		}
	}
	final := h.finalEvents()
	var all []queueingDelay
	for _, e := range h.events {
		if e.Kind != Arrived || e.Pool != pool || e.At.Before(since) {
			continue
		}
		if at, ok := sent[e.RequestID]; ok {
			all = append(all, queueingDelay{e, at.Sub(e.At)})
		} else if final[e.RequestID].Kind == Refused {
			all = append(all, queueingDelay{e, math.MaxInt64})
		}
	}
	slices.SortStableFunc(all, func(a, b queueingDelay) int { return cmp.Compare(a.delay, b.delay) })
	return all
}

// checkRate reports a violation if the surging pool answers too few requests per
// second during its surge.
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
