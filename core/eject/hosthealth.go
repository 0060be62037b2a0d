package eject

import "time"

// HostHealth is the health of one host.
type HostHealth struct {
	name string
	// failureRate is the moving share of failures, from 0 to 1.
	failureRate float64
	// score is the logarithm of how many times likelier the recent outcomes
	// are for a broken host than for one like the others; 0 at least.
	score        float64
	state        State
	ejectedUntil time.Time
	ejectionTime time.Duration
	// taskLimit is the number of tasks allowed while the host returns.
	taskLimit int
}

// Name returns the host's name.
func (h *HostHealth) Name() string { return h.name }

// State returns whether the host is in use at that time.
func (h *HostHealth) State(now time.Time) State {
	if h.state == Ejected && !now.Before(h.ejectedUntil) {
		return Returning
	}
	return h.state
}

// EjectedUntil returns the time until which the host is ejected.
func (h *HostHealth) EjectedUntil() time.Time { return h.ejectedUntil }

// FailureRate returns the moving share of failures, from 0 to 1.
func (h *HostHealth) FailureRate() float64 { return h.failureRate }

// TaskLimit returns how many tasks the host may have in flight, out of its slots.
func (h *HostHealth) TaskLimit(now time.Time, slots int) int {
	switch h.State(now) {
	case Ejected:
		return 0
	case Returning:
		return min(max(h.taskLimit, 1), slots)
	}
	return slots
}
