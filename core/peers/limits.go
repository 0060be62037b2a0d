package peers

import "time"

// DefaultSlowAfter is the default of [Limits.SlowAfter].
const DefaultSlowAfter = 3 * time.Second

// Limits holds the timeouts of a [View]. Zero fields mean the defaults.
type Limits struct {
	// SlowAfter is the time without a heartbeat after which a peer counts as
	// slow; 0 means [DefaultSlowAfter].
	SlowAfter time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.SlowAfter <= 0 {
		l.SlowAfter = DefaultSlowAfter
	}
	return l
}
