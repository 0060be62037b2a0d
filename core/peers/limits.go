package peers

import "time"

// DefaultSlowAfter is the silence after which a peer counts as slow.
const DefaultSlowAfter = 3 * time.Second

// Limits are the bounds of a [View]. The zero value stands for the defaults.
type Limits struct {
	// SlowAfter is the silence after which a peer counts as slow; 0 means
	// [DefaultSlowAfter].
	SlowAfter time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.SlowAfter <= 0 {
		l.SlowAfter = DefaultSlowAfter
	}
	return l
}
