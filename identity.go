package rock

// Identity is who made a call, as proved by a token.
type Identity struct {
	name         string
	organisation string
	role         Role
}

// NewIdentity returns the identity of the named token holder.
func NewIdentity(name, organisation string, role Role) Identity {
	return Identity{name: name, organisation: organisation, role: role}
}

// Name returns the name of the token holder, as it appears in the audit trail.
func (i Identity) Name() string { return i.name }

// Organisation returns the holder's organisation, or "" for an operator of
// the whole system.
func (i Identity) Organisation() string { return i.organisation }

// Role returns what the holder may do.
func (i Identity) Role() Role { return i.role }
