package books

import (
	rock "bramleyrock"
	"bramleyrock/core/feed"
)

// state is the immutable state that [Books] replaces as a whole.
type state struct {
	// config is the configuration in force, empty while known is false.
	config *feed.Config
	known  bool
	// platformContacted reports whether the row head was ever read.
	platformContacted bool
	// highestHead is the greatest revision read from the row head.
	highestHead rock.Revision
}
