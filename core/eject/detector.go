package eject

import (
	"math"
	"time"
)

const (
	// rateWeight is the weight of one outcome in the moving failure rates.
	rateWeight = 0.1
	// brokenRate is the failure rate that a broken host is assumed to have.
	brokenRate = 0.9
	// minBaselineRate is the least failure rate that a healthy host is assumed to
	// have.
	minBaselineRate = 0.02
	// healthyTaskLimit is the greatest task limit of a returning host. Once the
	// limit would exceed it, the host is healthy again.
	healthyTaskLimit = 8
)

// Detector detects and ejects outliers among the hosts of one pool. It is not
// safe for concurrent use.
type Detector struct {
	settings Settings
	hosts    map[string]*HostHealth
	// rateSum is the sum of the failure rates of all healthy hosts.
	rateSum float64
	// poolRate is the moving failure rate of the whole pool. When all hosts begin
	// to fail, it rises before the rates of the single hosts do.
	poolRate float64
	// outOfUse counts the hosts that are ejected or returning.
	outOfUse int
}

// NewDetector returns a detector without hosts.
func NewDetector(s Settings) *Detector {
	return &Detector{settings: s.withDefaults(), hosts: map[string]*HostHealth{}}
}

// Track returns the health of the named host. A host that is not known yet is
// added as healthy.
func (d *Detector) Track(name string) *HostHealth {
	h := d.hosts[name]
	if h == nil {
		h = &HostHealth{name: name, state: Healthy}
		d.hosts[name] = h
	}
	return h
}

// Forget removes the named host, if it is known.
func (d *Detector) Forget(name string) {
	h := d.hosts[name]
	if h == nil {
		return
	}
	if h.state == Healthy {
		d.rateSum -= h.failureRate
	} else {
		d.outOfUse--
	}
	delete(d.hosts, name)
}

// Names returns the names of the hosts, in no particular order.
func (d *Detector) Names() []string {
	names := make([]string, 0, len(d.hosts))
	for name := range d.hosts {
		names = append(names, name)
	}
	return names
}

// Record records the outcome of a task on the host and reports whether it caused
// the host to be ejected. The outcomes of an ejected host are ignored.
func (d *Detector) Record(now time.Time, h *HostHealth, failed bool) bool {
	if h.State(now) == Returning {
		h.state = Returning
		return d.recordReturning(now, h, failed)
	}
	if h.state == Ejected {
		return false // the task started before the ejection
	}
	d.updateScore(h, failed)
	if !failed || h.score < math.Log(d.settings.MinLikelihoodRatio) || !d.mayEject() {
		return false
	}
	d.rateSum -= h.failureRate
	d.outOfUse++
	d.eject(now, h)
	return true
}

// recordReturning records the outcome of a task on a returning host: a success
// doubles its task limit, a failure ejects it again.
func (d *Detector) recordReturning(now time.Time, h *HostHealth, failed bool) bool {
	if failed {
		d.eject(now, h)
		return true
	}
	h.taskLimit = 2 * max(h.taskLimit, 1)
	if h.taskLimit > healthyTaskLimit {
		h.state, h.ejectionTime, h.failureRate, h.score = Healthy, 0, 0, 0
		d.outOfUse--
	}
	return false
}

// eject ejects the host for EjectionTime, or for twice as long as the last time
// if it was not healthy since, up to MaxEjectionTime.
func (d *Detector) eject(now time.Time, h *HostHealth) {
	h.ejectionTime = min(max(2*h.ejectionTime, d.settings.EjectionTime), d.settings.MaxEjectionTime)
	h.state, h.ejectedUntil, h.taskLimit = Ejected, now.Add(h.ejectionTime), 1
}

// updateScore adds an outcome to the failure rates and to the host's score.
func (d *Detector) updateScore(h *HostHealth, failed bool) {
	baseline := min(max(d.baselineRate(h), minBaselineRate), brokenRate)
	previous := h.failureRate
	h.failureRate += rateWeight * (failureValue(failed) - h.failureRate)
	if failed {
		h.score += math.Log(brokenRate / baseline)
	} else {
		h.score = max(0, h.score+math.Log((1-brokenRate)/(1-baseline)))
	}
	d.rateSum += h.failureRate - previous
	d.poolRate += rateWeight * (failureValue(failed) - d.poolRate)
}

// failureValue returns 1 for a failure and 0 for a success.
func failureValue(failed bool) float64 {
	if failed {
		return 1
	}
	return 0
}

// baselineRate returns the failure rate against which the host is compared: the
// mean of the other healthy hosts, or that of the whole pool's recent outcomes if
// it is greater. It is 1 if there are no other healthy hosts.
func (d *Detector) baselineRate(h *HostHealth) float64 {
	others := len(d.hosts) - d.outOfUse - 1
	if others <= 0 {
		return 1
	}
	return max(d.poolRate, (d.rateSum-h.failureRate)/float64(others))
}

// mayEject reports whether MaxEjectedShare allows one more host to be ejected.
func (d *Detector) mayEject() bool {
	return d.outOfUse < max(1, int(d.settings.MaxEjectedShare*float64(len(d.hosts))))
}
