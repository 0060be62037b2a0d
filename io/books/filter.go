package books

import (
	"time"

	rock "bramleyrock"
)

// Filter selects changes of the audit trail. The zero value selects the newest
// ones.
type Filter struct {
	// After leaves out changes up to this revision; nil asks for the newest.
	After *rock.Revision
	// Limit is the greatest number of changes; 0 means 100.
	Limit int
	// Kind selects changes of records of a kind.
	Kind rock.Kind
	// Name selects changes of the records of that name.
	Name string
	// Who selects changes by an author.
	Who string
	// ChangeID selects the change with that id.
	ChangeID string
	// Since leaves out changes before this time.
	Since time.Time
	// Redact returns the part of a change that the reader may see, and false if
	// there is none; nil shows all.
	Redact func(c rock.Change) (rock.Change, bool)
}

// match returns what the reader may see of c, and whether the filter selects
// it.
func (f Filter) match(c rock.Change) (rock.Change, bool) {
	if f.Who != "" && f.Who != c.Who() || f.ChangeID != "" && f.ChangeID != c.ID() || c.At().Before(f.Since) {
		return rock.Change{}, false
	}
	if f.Redact != nil {
		seen, ok := f.Redact(c)
		if !ok {
			return rock.Change{}, false
		}
		c = seen
	}
	return c, f.editsSelectedRecord(c)
}

// editsSelectedRecord reports whether c edits a record that the filter selects.
func (f Filter) editsSelectedRecord(c rock.Change) bool {
	if f.Kind == "" && f.Name == "" {
		return true
	}
	for _, e := range c.Edits() {
		if (f.Kind == "" || f.Kind == e.Key().Kind()) && (f.Name == "" || f.Name == e.Key().Name()) {
			return true
		}
	}
	return false
}
