package eject

import "time"

// Settings holds the parameters of a [Detector] and of a [Quarantine]; zero
// values mean the defaults.
type Settings struct {
	// MinLikelihoodRatio is how many times likelier a host's recent outcomes must
	// be for a broken host than for one like the others of its pool before the
	// host is ejected; the default is 1,000,000.
	MinLikelihoodRatio float64
	// MaxEjectedShare is the greatest share of a pool's hosts that are ejected or
	// returning at a time; the default is 1/3. One host of a pool of two or more
	// may always be ejected.
	MaxEjectedShare float64
	// EjectionTime is the duration of a host's first ejection; the default is 5 s.
	// It doubles each time that the host fails when it returns.
	EjectionTime time.Duration
	// MaxEjectionTime is the longest duration of an ejection; the default is
	// 1 min.
	MaxEjectionTime time.Duration
	// MinFailedHosts is the number of different hosts on which work must fail
	// before it is quarantined; the default is 3. In a smaller pool, it is the
	// number of hosts, but at least 2.
	MinFailedHosts int
	// QuarantineTime is how long work is quarantined after it failed on one more
	// host; the default is 30 s.
	QuarantineTime time.Duration
	// MaxEntries is the greatest number of pieces of failing work that are
	// recorded; the default is 4096.
	MaxEntries int
}

func (s Settings) withDefaults() Settings {
	if s.MinLikelihoodRatio <= 1 {
		s.MinLikelihoodRatio = 1e6
	}
	if s.MaxEjectedShare <= 0 {
		s.MaxEjectedShare = 1.0 / 3
	}
	if s.EjectionTime <= 0 {
		s.EjectionTime = 5 * time.Second
	}
	if s.MaxEjectionTime <= 0 {
		s.MaxEjectionTime = time.Minute
	}
	if s.MinFailedHosts <= 0 {
		s.MinFailedHosts = 3
	}
	if s.QuarantineTime <= 0 {
		s.QuarantineTime = 30 * time.Second
	}
	if s.MaxEntries <= 0 {
		s.MaxEntries = 4096
	}
	return s
}
