package crew

import (
	"maps"
	"slices"
	"time"

	rock "bramleyrock"
)

// Registry holds the entries' status rows. It is not safe for concurrent use.
type Registry struct {
	rows     map[string]rock.EntryStatus
	replaced map[string]bool
}

// NewRegistry returns a registry without rows.
func NewRegistry() *Registry {
	return &Registry{rows: map[string]rock.EntryStatus{}, replaced: map[string]bool{}}
}

// Write writes an entry's row and reports whether it was taken. The row of an
// incarnation that was replaced by a newer one is refused.
func (r *Registry) Write(s rock.EntryStatus) bool {
	m := s.Member()
	if r.replaced[m.Incarnation()] {
		return false
	}
	if was, ok := r.rows[m.Name()]; ok && was.Member().Incarnation() != m.Incarnation() {
		r.replaced[was.Member().Incarnation()] = true
	}
	r.rows[m.Name()] = s
	return true
}

// Statuses returns all rows in order of name.
func (r *Registry) Statuses(time.Time) []rock.EntryStatus {
	rows := make([]rock.EntryStatus, 0, len(r.rows))
	for _, name := range slices.Sorted(maps.Keys(r.rows)) {
		rows = append(rows, r.rows[name])
	}
	return rows
}
