package rock

// Member is an entry process as its peers see it.
type Member struct {
	name        string
	zone        string
	address     string
	incarnation string
}

// NewMember returns a member with the entry's name, its availability zone, the
// address at which it listens for peers, and the incarnation, which is a new id
// at each start of the process.
func NewMember(name, zone, address, incarnation string) Member {
	return Member{name: name, zone: zone, address: address, incarnation: incarnation}
}

// Name returns the entry's name.
func (m Member) Name() string { return m.name }

// Zone returns the entry's availability zone.
func (m Member) Zone() string { return m.zone }

// Address returns the IP address and port at which the entry listens for peers.
func (m Member) Address() string { return m.address }

// Incarnation returns the id of this run of the process.
func (m Member) Incarnation() string { return m.incarnation }
