package targ

import (
	"net/http"
	"time"

	"bramleyrock/io/calls"
)

const (
	defaultProbe       = time.Second
	defaultCallTimeout = 2 * time.Second
	defaultPerHost     = 64
	defaultMaxPayload  = 1 << 20
	defaultMaxAnswer   = 8 << 20
	defaultProbes      = 3
	defaultMaxLeft     = 16384
)

// Settings are the parameters of a [Client]. The zero value is usable.
type Settings struct {
	// Probe is how long an answer may be outstanding before the target is
	// asked about its task, and how often it is asked then; 0 means a second.
	Probe time.Duration
	// Probes is the number of questions in a row without an answer after
	// which the host counts as lost; 0 means three.
	Probes int
	// CallTimeout bounds each call but the one that runs a task; 0 means two
	// seconds.
	CallTimeout time.Duration
	// PerHost is the greatest number of kept connections to one host; 0 means
	// 64.
	PerHost int
	// MaxPayload is the greatest size of a task's payload, in bytes; 0 means
	// 1 MiB.
	MaxPayload int
	// MaxAnswer is the greatest size of an answer, in bytes; 0 means 8 MiB.
	MaxAnswer int64
	// MaxLeft is the number of given up tasks that may be waiting to be
	// cancelled; 0 means 16384. One that finds no room ends when its lease
	// lapses.
	MaxLeft int
	// Kept sends requests over kept connections; nil means HTTP over TCP.
	Kept http.RoundTripper
	// Fresh sends each request over a new connection; nil means HTTP over
	// TCP.
	Fresh http.RoundTripper
}

// withDefaults returns s with the defaults in place of what is not set.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Probe, defaultProbe)
	setDefault(&s.Probes, defaultProbes)
	setDefault(&s.CallTimeout, defaultCallTimeout)
	setDefault(&s.PerHost, defaultPerHost)
	setDefault(&s.MaxPayload, defaultMaxPayload)
	setDefault(&s.MaxAnswer, defaultMaxAnswer)
	setDefault(&s.MaxLeft, defaultMaxLeft)
	if s.Kept == nil {
		s.Kept = calls.NewTransport(calls.Limits{PerHost: s.PerHost})
	}
	if s.Fresh == nil {
		s.Fresh = calls.NewTransport(calls.Limits{PerHost: s.PerHost, DisableKeepAlives: true})
	}
	return s
}

// setDefault sets a value that is not set.
func setDefault[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
	}
}
