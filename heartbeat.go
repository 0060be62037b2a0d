package rock

// Heartbeat is the message with its own state that an entry sends to its peers
// about once per second.
type Heartbeat struct {
	member   Member
	revision Revision
	leaving  bool
	pools    []PoolLoad
}

// NewHeartbeat returns a heartbeat of m, which has the configuration of that
// revision in force.
func NewHeartbeat(m Member, revision Revision, leaving bool, pools []PoolLoad) Heartbeat {
	return Heartbeat{member: m, revision: revision, leaving: leaving, pools: pools}
}

// Member returns the sender.
func (h Heartbeat) Member() Member { return h.member }

// Revision returns the revision in force at the sender.
func (h Heartbeat) Revision() Revision { return h.revision }

// Leaving reports whether the sender is shutting down.
func (h Heartbeat) Leaving() bool { return h.leaving }

// Pools returns the sender's load: one element for each pool with hosts in the
// sender's zone.
func (h Heartbeat) Pools() []PoolLoad { return h.pools }
