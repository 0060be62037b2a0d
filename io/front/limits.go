package front

import "time"

// Limits holds the bounds of the caller door; zero values mean the defaults.
type Limits struct {
	// MaxBodyBytes is the greatest size of a request's body; 1 MiB.
	MaxBodyBytes int64
	// MaxAnswerBytes is the greatest size of an answer's payload; 4 MiB.
	MaxAnswerBytes int
	// DefaultTimeout is used for requests that state none; 5 s.
	DefaultTimeout time.Duration
	// MaxTimeout is the greatest timeout that a request may state; 10 min.
	MaxTimeout time.Duration
}

// withDefaults returns l with the defaults in place of zero values.
func (l Limits) withDefaults() Limits {
	if l.MaxBodyBytes <= 0 {
		l.MaxBodyBytes = 1 << 20
	}
	if l.MaxAnswerBytes <= 0 {
		l.MaxAnswerBytes = 4 << 20
	}
	if l.DefaultTimeout <= 0 {
		l.DefaultTimeout = 5 * time.Second
	}
	if l.MaxTimeout <= 0 {
		l.MaxTimeout = 10 * time.Minute
	}
	return l
}
