package rock

// Identity is the authenticated identity of the maker of a call.
type Identity struct {
	name         string
	organisation string
	role         Role
}

// NewIdentity returns the identity of the named token holder.
func NewIdentity(name, organisation string, role Role) Identity {
	return Identity{name: name, organisation: organisation, role: role}
}

// Name returns the name of the token holder, as written to the audit trail.
func (i Identity) Name() string { return i.name }

// Organisation returns the holder's organisation, or "" for the operator of the
// whole system.
func (i Identity) Organisation() string { return i.organisation }

// Role returns the role, which determines what the holder may do.
func (i Identity) Role() Role { return i.role }
