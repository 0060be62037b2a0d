package plan

import "time"

const (
	defaultHalfLife            = time.Hour
	defaultStabilisationWindow = 30 * time.Minute
	defaultCooldown            = 4 * time.Hour
	defaultSlotsPerHost        = 8
	defaultMaxMoves            = 2
)

// Settings holds the parameters of a [Planner]. A zero field means its default.
type Settings struct {
	// Weights sets the relative costs; the default is [PreferFewMoves].
	Weights Weights
	// HalfLife is the age at which observations of a pool have half of their
	// initial weight; the default is 1 hour.
	HalfLife time.Duration
	// StabilisationWindow is how long a move must be worth its cost before it is
	// proposed; the default is 30 minutes.
	StabilisationWindow time.Duration
	// Cooldown is the minimum time between two moves of a host; the default is 4
	// hours.
	Cooldown time.Duration
	// SlotsPerHost is the number of slots of a host; the default is 8.
	SlotsPerHost int
	// MaxMoves is the maximum number of moves that one call of [Planner.Moves]
	// returns; the default is 2.
	MaxMoves int
}

func (s Settings) withDefaults() Settings {
	if s.Weights == (Weights{}) {
		s.Weights = PreferFewMoves()
	}
	if s.HalfLife <= 0 {
		s.HalfLife = defaultHalfLife
	}
	if s.StabilisationWindow <= 0 {
		s.StabilisationWindow = defaultStabilisationWindow
	}
	if s.Cooldown <= 0 {
		s.Cooldown = defaultCooldown
	}
	if s.SlotsPerHost <= 0 {
		s.SlotsPerHost = defaultSlotsPerHost
	}
	if s.MaxMoves <= 0 {
		s.MaxMoves = defaultMaxMoves
	}
	return s
}
