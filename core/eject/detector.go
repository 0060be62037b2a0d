package eject

import (
	"math"
	"time"
)

const (
	// rateWeight is the weight of one outcome in a host's share of failures.
	rateWeight = 0.1
	// brokenRate is the share of failures of a host that is broken.
	brokenRate = 0.9
	// minBaselineRate is the least share of failures that is taken for usual.
	minBaselineRate = 0.02
	// healthyTaskLimit is the number of tasks in flight from which on a returning
	// host is healthy again.
	healthyTaskLimit = 8
)

// Detector watches the health of one pool's hosts. It is not safe for concurrent
// use.
type Detector struct {
	settings Settings
	hosts    map[string]*HostHealth
	// rateSum is the sum of the rates of all hosts that are not ejected.
	rateSum float64
	// poolRate is the moving share of failures of all outcomes. It rises at once
	// when the whole pool begins to fail, before the rates of all hosts have.
	poolRate float64
	// outOfUse counts the hosts that are ejected or returning.
	outOfUse int
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
		w.rateSum -= h.failureRate
	} else {
		w.outOfUse--
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
		return w.recordReturning(now, h, failed)
	}
	if h.state == Ejected {
		return false // the task began before
	}
	w.updateScore(h, failed)
	if !failed || h.score < math.Log(w.settings.MinLikelihoodRatio) || !w.mayEject() {
		return false
	}
	w.rateSum -= h.failureRate
	w.outOfUse++
	w.eject(now, h)
	return true
}

// recordReturning notes the outcome of a task of a returning host.
func (w *Detector) recordReturning(now time.Time, h *HostHealth, failed bool) bool {
	if failed {
		w.eject(now, h)
		return true
	}
	h.taskLimit = 2 * max(h.taskLimit, 1)
	if h.taskLimit > healthyTaskLimit {
		h.state, h.ejectionTime, h.failureRate, h.score = Healthy, 0, 0, 0
		w.outOfUse--
	}
	return false
}

// eject leaves the host alone, for twice as long as the last time.
func (w *Detector) eject(now time.Time, h *HostHealth) {
	h.ejectionTime = min(max(2*h.ejectionTime, w.settings.EjectionTime), w.settings.MaxEjectionTime)
	h.state, h.ejectedUntil, h.taskLimit = Ejected, now.Add(h.ejectionTime), 1
}

// updateScore takes an outcome into the host's rate and score.
func (w *Detector) updateScore(h *HostHealth, failed bool) {
	usual := min(max(w.baselineRate(h), minBaselineRate), brokenRate)
	old := h.failureRate
	h.failureRate += rateWeight * (failureValue(failed) - h.failureRate)
	if failed {
		h.score += math.Log(brokenRate / usual)
	} else {
		h.score = max(0, h.score+math.Log((1-brokenRate)/(1-usual)))
	}
	w.rateSum += h.failureRate - old
	w.poolRate += rateWeight * (failureValue(failed) - w.poolRate)
}

// failureValue returns the share of failures in one outcome.
func failureValue(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// baselineRate returns the share of failures that is usual at the moment: the mean of
// the other hosts, or that of the whole pool's recent outcomes if it is greater.
// It is 1 if there are no other hosts.
func (w *Detector) baselineRate(h *HostHealth) float64 {
	others := len(w.hosts) - w.outOfUse - 1
	if others <= 0 {
		return 1
	}
	return max(w.poolRate, (w.rateSum-h.failureRate)/float64(others))
}

// mayEject reports whether one more host may be ejected.
func (w *Detector) mayEject() bool {
	return w.outOfUse < max(1, int(w.settings.MaxEjectedShare*float64(len(w.hosts))))
}
