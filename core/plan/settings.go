package plan

import "time"

const (
	defaultHalfLife = time.Hour
	defaultHold     = 30 * time.Minute
	defaultRest     = 4 * time.Hour
	defaultSlots    = 8
	defaultMaxMoves = 2
)

// Settings are the settings of a [Planner]. The zero value stands for the
// defaults.
type Settings struct {
	// Weights say what matters; the zero value means [PreferFewMoves].
	Weights Weights
	// HalfLife is the age at which what was seen of a pool counts half; the
	// default is 1 hour.
	HalfLife time.Duration
	// StabilisationWindow is how long a move must be worth its price before it is proposed;
	// the default is 30 minutes.
	StabilisationWindow time.Duration
	// Cooldown is how long a host stays after a move; the default is 4 hours.
	Cooldown time.Duration
	// SlotsPerHost is the number of slots of a host; the default is 8.
	SlotsPerHost int
	// MaxMoves is the greatest number of moves under way at once; the default
	// is 2.
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
		s.StabilisationWindow = defaultHold
	}
	if s.Cooldown <= 0 {
		s.Cooldown = defaultRest
	}
	if s.SlotsPerHost <= 0 {
		s.SlotsPerHost = defaultSlots
	}
	if s.MaxMoves <= 0 {
		s.MaxMoves = defaultMaxMoves
	}
	return s
}
