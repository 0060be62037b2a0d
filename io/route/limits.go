package route

import "time"

// Limits holds the bounds of an [Engine]; zero values mean the defaults.
type Limits struct {
	// MaxWaiting is the greatest number of waiting requests of a pool; 512.
	MaxWaiting int
	// MaxHops is how often a request may be forwarded; 2.
	MaxHops int
	// MaxAttempts is how often a request may be tried in all; 4.
	MaxAttempts int
	// KeyLifetime is how long an idempotency key is valid; 10 min.
	KeyLifetime time.Duration
	// CallerKeyLifetime is how long an idempotency key that its caller chose is
	// kept claimed; 1 h.
	CallerKeyLifetime time.Duration
	// CallerKeysPerSecond is how many idempotency keys chosen by callers the entry
	// claims a second; 3, so that the sweep of expired claims keeps up.
	CallerKeysPerSecond int
	// HostListInterval is the time between looks at the platform's host list;
	// 2 s.
	HostListInterval time.Duration
	// DispatchInterval is the time between looks at hosts that were held back; 20 ms.
	DispatchInterval time.Duration
}

// withDefaults returns l with the defaults in place of zero values.
func (l Limits) withDefaults() Limits {
	if l.MaxWaiting <= 0 {
		l.MaxWaiting = 512
	}
	if l.MaxHops <= 0 {
		l.MaxHops = 2
	}
	if l.MaxAttempts <= 0 {
		l.MaxAttempts = 4
	}
	if l.KeyLifetime <= 0 {
		l.KeyLifetime = 10 * time.Minute
	}
	if l.CallerKeyLifetime <= 0 {
		l.CallerKeyLifetime = time.Hour
	}
	if l.CallerKeysPerSecond <= 0 {
		l.CallerKeysPerSecond = 3
	}
	if l.HostListInterval <= 0 {
		l.HostListInterval = 2 * time.Second
	}
	if l.DispatchInterval <= 0 {
		l.DispatchInterval = 20 * time.Millisecond
	}
	return l
}
