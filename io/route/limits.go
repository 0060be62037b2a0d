package route

import "time"

// Limits holds the bounds of an [Engine]; zero values mean the defaults.
type Limits struct {
	// MaxWaiting is the maximum number of waiting requests per pool; 512 by
	// default.
	MaxWaiting int
	// MaxHops is the maximum number of times that a request is forwarded; 2 by
	// default.
	MaxHops int
	// MaxAttempts is the maximum number of attempts per request, including the
	// first; 4 by default.
	MaxAttempts int
	// KeyLifetime is how long an issued idempotency key is valid; 10 min by
	// default.
	KeyLifetime time.Duration
	// CallerKeyLifetime is how long the claim of an idempotency key that a
	// caller chose is valid; 1 h by default.
	CallerKeyLifetime time.Duration
	// CallerKeysPerSecond is the maximum sustained rate at which the entry claims
	// idempotency keys that callers chose; 3 by default, so that the deletion
	// of expired claims, 100 rows per 30 s, keeps up.
	CallerKeysPerSecond int
	// HostListInterval is the time between reads of the platform's host list,
	// and the timeout of a read; 2 s by default.
	HostListInterval time.Duration
	// DispatchInterval is the time between dispatches of the waiting requests,
	// which use hosts whose backoff has ended; 20 ms by default.
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
