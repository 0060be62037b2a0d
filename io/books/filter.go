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
	// Change selects the change with that id.
	Change string
	// Since leaves out changes before this time.
	Since time.Time
	// Allowed selects the changes that the reader may see; nil allows all.
	Allowed func(c rock.Change) bool
}

// matches reports whether the filter selects c.
func (f Filter) matches(c rock.Change) bool {
	if f.Who != "" && f.Who != c.Who() || f.Change != "" && f.Change != c.ID() || c.At().Before(f.Since) {
		return false
	}
	return f.touches(c) && (f.Allowed == nil || f.Allowed(c))
}

// touches reports whether c edits a record that the filter selects.
func (f Filter) touches(c rock.Change) bool {
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
