package client

import (
	rock "bramleyrock"
)

// Filter selects changes of the audit trail. The zero value selects all.
type Filter struct {
	// After leaves out changes up to this revision.
	After rock.Revision `url:"after,omitempty"`
	// Limit is the greatest number of changes.
	Limit int `url:"limit,omitempty"`
	// Kind selects changes of records of a kind.
	Kind string `url:"kind,omitempty"`
	// Name selects changes of the records of that name.
	Name string `url:"name,omitempty"`
	// Who selects changes by an author.
	Who string `url:"who,omitempty"`
	// Since leaves out changes before this RFC 3339 time.
	Since string `url:"since,omitempty"`
}
