package eject

import "time"

// HostHealth is the health of one host, as computed by a [Detector].
type HostHealth struct {
	name string
	// failureRate is the moving failure rate, from 0 to 1.
	failureRate float64
	// score is the cumulative sum of log-likelihood ratios of the outcomes, for a
	// broken host against a host like the others; it is never negative.
	score        float64
	state        State
	ejectedUntil time.Time
	ejectionTime time.Duration
	// taskLimit is the number of tasks that a returning host may have in flight.
	taskLimit int
}

// Name returns the host's name.
func (h *HostHealth) Name() string { return h.name }

// State returns the state of the host at now.
func (h *HostHealth) State(now time.Time) State {
	if h.state == Ejected && !now.Before(h.ejectedUntil) {
		return Returning
	}
	return h.state
}

// EjectedUntil returns when the last ejection of the host ends or ended.
func (h *HostHealth) EjectedUntil() time.Time { return h.ejectedUntil }

// FailureRate returns the moving failure rate, from 0 to 1.
func (h *HostHealth) FailureRate() float64 { return h.failureRate }

// TaskLimit returns how many tasks a host with that number of slots may have in
// flight at now.
func (h *HostHealth) TaskLimit(now time.Time, slots int) int {
	switch h.State(now) {
	case Ejected:
		return 0
	case Returning:
		return min(max(h.taskLimit, 1), slots)
	}
	return slots
}
