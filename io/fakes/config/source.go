package config

import (
	"sync/atomic"

	rock "bramleyrock"
)

// Source gives a configuration that a test may replace. It implements
// [rock.FleetSource]; its zero value knows none.
type Source struct {
	fleet atomic.Pointer[Fleet]
}

// NewSource returns a source of the configuration.
func NewSource(f *Fleet) *Source {
	s := &Source{}
	s.Set(f)
	return s
}

// Set replaces the configuration.
func (s *Source) Set(f *Fleet) { s.fleet.Store(f) }

// Fleet implements [rock.FleetSource].
func (s *Source) Fleet() (rock.Fleet, bool) {
	f := s.fleet.Load()
	return f, f != nil
}
