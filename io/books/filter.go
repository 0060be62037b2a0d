package books

import (
	"time"

	rock "bramleyrock"
)

// Filter selects changes of the audit trail. The zero value selects the newest
// 100 changes.
type Filter struct {
	// After selects the oldest changes after this revision; nil selects the
	// newest changes.
	After *rock.Revision
	// Limit is the greatest number of changes returned; 0 means 100.
	Limit int
	// Kind selects changes that edit a record of this kind; "" selects all.
	Kind rock.Kind
	// Name selects changes that edit a record of this name; "" selects all.
	Name string
	// Who selects changes by this author; "" selects all.
	Who string
	// ChangeID selects the change with this id; "" selects all.
	ChangeID string
	// Since selects changes made at or after this time.
	Since time.Time
	// Redact returns the part of a change that the reader may see, and false if
	// there is none; nil shows every change in full.
	Redact func(c rock.Change) (rock.Change, bool)
}

// match returns the part of c that the reader may see, and whether the filter
// selects it.
func (f Filter) match(c rock.Change) (rock.Change, bool) {
	if f.Who != "" && f.Who != c.Who() || f.ChangeID != "" && f.ChangeID != c.ID() || c.At().Before(f.Since) {
		return rock.Change{}, false
	}
	if f.Redact != nil {
		visible, ok := f.Redact(c)
		if !ok {
			return rock.Change{}, false
		}
		c = visible
	}
	return c, f.editsSelectedRecord(c)
}

// editsSelectedRecord reports whether c edits a record of the selected kind and
// name.
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
