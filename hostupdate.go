package rock

// HostUpdate holds the changes of the platform's host list since a cursor, or the
// full list.
type HostUpdate struct {
	hosts []HostStatus
	next  HostCursor
	full  bool
}

// NewHostUpdate returns an update with the status of hosts and the cursor for the
// next call. A full update means that all other hosts are no longer listed.
func NewHostUpdate(hosts []HostStatus, next HostCursor, full bool) HostUpdate {
	return HostUpdate{hosts: hosts, next: next, full: full}
}

// Hosts returns the hosts that changed, or all hosts if the update is full.
func (u HostUpdate) Hosts() []HostStatus { return u.hosts }

// Next returns the cursor for the next call.
func (u HostUpdate) Next() HostCursor { return u.next }

// Full reports whether the update replaces the list known before.
func (u HostUpdate) Full() bool { return u.full }
