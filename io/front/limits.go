package front

import "time"

// Limits holds the limits of the API for callers; zero values mean the defaults.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body; 1 MiB by default.
	MaxBodyBytes int64
	// MaxAnswerBytes is the maximum size of an answer's payload; 4 MiB by
	// default.
	MaxAnswerBytes int
	// DefaultTimeout is the timeout of requests that state none; 5 s by default.
	DefaultTimeout time.Duration
	// MaxTimeout is the maximum timeout that a request may state; 10 min by
	// default.
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
