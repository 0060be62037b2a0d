package books

import (
	rock "bramleyrock"
	"bramleyrock/core/feed"
)

// state is what books know at one moment. It never changes.
type state struct {
	config            *feed.Config
	known             bool
	platformContacted bool
	highestHead       rock.Revision
}
