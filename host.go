package rock

// Host is a host as configured: its location, pool and capacity.
type Host struct {
	name       string
	address    string
	zone       string
	rack       string
	pool       string
	generation uint64
	slots      int
	open       bool
}

// HostSpec holds the fields of a [Host].
type HostSpec struct {
	// Name is the name of the host's record.
	Name string
	// Address is the IP address and port of the host's target.
	Address string
	// Zone is the availability zone.
	Zone string
	// Rack is the rack within the zone; hosts of a rack can fail together.
	Rack string
	// Pool is the only pool that may place work on the host; "" for none.
	Pool string
	// Generation grows with every move of the host to another pool.
	Generation uint64
	// Slots is the maximum number of tasks that run on the host at the same
	// time.
	Slots int
	// Open is true if new work may be placed on the host.
	Open bool
}

// NewHost returns the host described by s.
func NewHost(s HostSpec) Host {
	return Host{
		name:       s.Name,
		address:    s.Address,
		zone:       s.Zone,
		rack:       s.Rack,
		pool:       s.Pool,
		generation: s.Generation,
		slots:      s.Slots,
		open:       s.Open,
	}
}

// Name returns the name of the host's record.
func (h Host) Name() string { return h.name }

// Address returns the IP address and port of the host's target.
func (h Host) Address() string { return h.address }

// Zone returns the availability zone.
func (h Host) Zone() string { return h.zone }

// Rack returns the rack within the zone; hosts of a rack can fail together.
func (h Host) Rack() string { return h.rack }

// Pool returns the pool that the host is in, or "".
func (h Host) Pool() string { return h.pool }

// Generation returns the generation, which grows with every move of the host to
// another pool.
func (h Host) Generation() uint64 { return h.generation }

// Slots returns the maximum number of tasks that run on the host at the same
// time.
func (h Host) Slots() int { return h.slots }

// Open reports whether new work may be placed on the host.
func (h Host) Open() bool { return h.open }
