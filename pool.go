package rock

// Pool is a pool as configured.
type Pool struct {
	name         string
	organisation string
	spare        bool
}

// NewPool returns a pool that serves the organisation, or all organisations if
// organisation is "". The hosts of a spare pool may be lent to other pools.
func NewPool(name, organisation string, spare bool) Pool {
	return Pool{name: name, organisation: organisation, spare: spare}
}

// Name returns the pool's name.
func (p Pool) Name() string { return p.name }

// Organisation returns the organisation that the pool serves, or "" for all.
func (p Pool) Organisation() string { return p.organisation }

// Spare reports whether hosts of the pool may be lent to other pools.
func (p Pool) Spare() bool { return p.spare }

// Serves reports whether the organisation may send work to the pool.
func (p Pool) Serves(organisation string) bool {
	return p.organisation == "" || p.organisation == organisation
}
