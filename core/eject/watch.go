package eject

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of one outcome in a host's share of failures.
	smoothing = 0.1
	// brokenRate is the share of failures of a host that is broken.
	brokenRate = 0.9
	// leastRate is the least share of failures that is taken for usual.
	leastRate = 0.02
	// provenLimit is the number of tasks in flight from which on a returning
	// host is healthy again.
	provenLimit = 8
)

// Detector watches the health of one pool's hosts. It is not safe for concurrent
// use.
type Detector struct {
	settings Settings
	hosts    map[string]*HostHealth
	// rates is the sum of the rates of all hosts that are not ejected.
	rates float64
	// recent is the moving share of failures of all outcomes. It rises at once
	// when the whole pool begins to fail, before the rates of all hosts have.
	recent float64
	// out counts the hosts that are ejected or returning.
	out int
}

// NewDetector returns a watch without hosts.
func NewDetector(s Settings) *Detector {
	return &Detector{settings: s.withDefaults(), hosts: map[string]*HostHealth{}}
}

// Track returns the health of the named host, which is healthy if it is new.
func (w *Detector) Track(name string) *HostHealth {
	h := w.hosts[name]
	if h == nil {
		h = &HostHealth{name: name, state: Healthy}
		w.hosts[name] = h
	}
	return h
}

// Forget forgets a host.
func (w *Detector) Forget(name string) {
	h := w.hosts[name]
	if h == nil {
		return
	}
	if h.state == Healthy {
		w.rates -= h.rate
	} else {
		w.out--
	}
	delete(w.hosts, name)
}

// Names returns the names of the hosts, in no order.
func (w *Detector) Names() []string {
	names := make([]string, 0, len(w.hosts))
	for name := range w.hosts {
		names = append(names, name)
	}
	return names
}

// Record notes the outcome of a task and reports whether it ejected the host.
func (w *Detector) Record(now time.Time, h *HostHealth, failed bool) bool {
	if h.State(now) == Returning {
		h.state = Returning
		return w.noteReturning(now, h, failed)
	}
	if h.state == Ejected {
		return false // the task began before
	}
	w.score(h, failed)
	if !failed || h.score < math.Log(w.settings.MinLikelihoodRatio) || !w.room() {
		return false
	}
	w.rates -= h.rate
	w.out++
	w.eject(now, h)
	return true
}

// noteReturning notes the outcome of a task of a returning host.
func (w *Detector) noteReturning(now time.Time, h *HostHealth, failed bool) bool {
	if failed {
		w.eject(now, h)
		return true
	}
	h.limit = 2 * max(h.limit, 1)
	if h.limit > provenLimit {
		h.state, h.rest, h.rate, h.score = Healthy, 0, 0, 0
		w.out--
	}
	return false
}

// eject leaves the host alone, for twice as long as the last time.
func (w *Detector) eject(now time.Time, h *HostHealth) {
	h.rest = min(max(2*h.rest, w.settings.EjectionTime), w.settings.MaxEjectionTime)
	h.state, h.until, h.limit = Ejected, now.Add(h.rest), 1
}

// score takes an outcome into the host's rate and score.
func (w *Detector) score(h *HostHealth, failed bool) {
	usual := min(max(w.usual(h), leastRate), brokenRate)
	old := h.rate
	h.rate += smoothing * (share(failed) - h.rate)
	if failed {
		h.score += math.Log(brokenRate / usual)
	} else {
		h.score = max(0, h.score+math.Log((1-brokenRate)/(1-usual)))
	}
	w.rates += h.rate - old
	w.recent += smoothing * (share(failed) - w.recent)
}

// share returns the share of failures in one outcome.
func share(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// usual returns the share of failures that is usual at the moment: the mean of
// the other hosts, or that of the whole pool's recent outcomes if it is greater.
// It is 1 if there are no other hosts.
func (w *Detector) usual(h *HostHealth) float64 {
	others := len(w.hosts) - w.out - 1
	if others <= 0 {
		return 1
	}
	return max(w.recent, (w.rates-h.rate)/float64(others))
}

// room reports whether one more host may be ejected.
func (w *Detector) room() bool {
	return w.out < max(1, int(w.settings.MaxEjectedShare*float64(len(w.hosts))))
}
