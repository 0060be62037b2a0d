package client

import (
	rock "bramleyrock"
)

// Filter selects changes of the audit trail. The zero value selects all.
type Filter struct {
	// After selects changes with a greater revision.
	After rock.Revision `url:"after,omitempty"`
	// Limit is the maximum number of changes.
	Limit int `url:"limit,omitempty"`
	// Kind selects changes of records of this kind.
	Kind string `url:"kind,omitempty"`
	// Name selects changes of records with this name.
	Name string `url:"name,omitempty"`
	// Who selects changes by this author.
	Who string `url:"who,omitempty"`
	// Since selects changes made at this RFC 3339 time or later.
	Since string `url:"since,omitempty"`
}
