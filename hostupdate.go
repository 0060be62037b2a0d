package rock

// HostUpdate is what changed in the platform's host list since a cursor.
type HostUpdate struct {
	hosts []HostStatus
	next  HostCursor
	whole bool
}

// NewHostUpdate returns an update with the lines of hosts and the cursor to ask
// with next. It is whole if hosts that it does not name are no longer listed.
func NewHostUpdate(hosts []HostStatus, next HostCursor, whole bool) HostUpdate {
	return HostUpdate{hosts: hosts, next: next, whole: whole}
}

// Hosts returns the lines that changed, or all lines if the update is whole.
func (u HostUpdate) Hosts() []HostStatus { return u.hosts }

// Next returns the cursor to ask with next.
func (u HostUpdate) Next() HostCursor { return u.next }

// Full reports whether the update replaces all that was known.
func (u HostUpdate) Full() bool { return u.whole }
