package budget

import "time"

// defaultMaxAge is the default of [Settings.MaxListAge].
const defaultMaxAge = time.Minute

// Settings are the settings of a [Reviewer]. The zero value stands for the
// defaults.
type Settings struct {
	// MaxListAge is how old the platform's list of hosts may be for a voluntary
	// step to be allowed; the default is 1 minute.
	MaxListAge time.Duration
}
