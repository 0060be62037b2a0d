package depot

import "time"

const (
	defaultWritesPerSecond = 400
	defaultReadsPerSecond  = 2000
	defaultRebootTime      = 2 * time.Second
)

// Settings are the parameters of a [Depot]. The zero value is usable.
type Settings struct {
	// Seed seeds the choices that faults make by chance.
	Seed uint64
	// HostListLag is how old the host list's lines are.
	HostListLag time.Duration
	// WritesPerSecond caps the writes; 0 means 400, and a negative value
	// takes the cap away.
	WritesPerSecond float64
	// ReadsPerSecond caps the reads; 0 means 2000, and a negative value takes
	// the cap away.
	ReadsPerSecond float64
	// RebootTime is how long a host's reboot takes; 0 means two seconds.
	RebootTime time.Duration
	// OnReboot is called when a host begins to reboot, if it is set.
	OnReboot func(name, address string)
	// Leases returns the number of leases running on a host, if it is set;
	// otherwise [Depot.SetLeases] tells it.
	Leases func(name string) int
	// Now returns the present time; nil means [time.Now].
	Now func() time.Time
}

func (s Settings) withDefaults() Settings {
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = defaultWritesPerSecond
	}
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = defaultReadsPerSecond
	}
	if s.RebootTime == 0 {
		s.RebootTime = defaultRebootTime
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	return s
}
