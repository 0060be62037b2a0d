package rock

import "time"

// HostState is the state of a host as reported by the platform.
type HostState string

// The states of a host in the platform's list.
const (
	HostLive      HostState = "live"
	HostLeaving   HostState = "leaving"
	HostRebooting HostState = "rebooting"
	HostGone      HostState = "gone"
)

// HostStatus is the status of one host in the platform's host list. It may lag
// behind the actual state of the host.
type HostStatus struct {
	name   string
	state  HostState
	leases int
	boots  uint64
	asOf   time.Time
}

// NewHostStatus returns the status of the named host as of a time: its state,
// the number of task leases on it, and how often it has booted.
func NewHostStatus(name string, state HostState, leases int, boots uint64, asOf time.Time) HostStatus {
	return HostStatus{name: name, state: state, leases: leases, boots: boots, asOf: asOf}
}

// Name returns the host's name.
func (h HostStatus) Name() string { return h.name }

// State returns the host's state.
func (h HostStatus) State() HostState { return h.state }

// Leases returns the number of task leases on the host.
func (h HostStatus) Leases() int { return h.leases }

// Boots returns how often the host has booted.
func (h HostStatus) Boots() uint64 { return h.boots }

// AsOf returns the time at which the status was true.
func (h HostStatus) AsOf() time.Time { return h.asOf }
