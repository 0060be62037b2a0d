package budget

import "time"

// defaultMaxListAge is the default of [Settings.MaxListAge].
const defaultMaxListAge = time.Minute

// Settings configures a [Reviewer]. The zero value means the defaults.
type Settings struct {
	// MaxListAge is the greatest age of the platform's list of hosts at which
	// hosts may be taken away from pools; 0 means 1 minute.
	MaxListAge time.Duration
}
