package drain

import (
	"time"

	rock "bramleyrock"
)

// History remembers when an entry was first known to do nothing more on a
// closed host, because status rows show only the latest time. The zero value
// is empty; losing it costs only time. It is not safe for concurrent use.
type History struct {
	last, present map[sighting]time.Time
}

// sighting is an incarnation of an entry that is done with a host which was
// closed after the revision.
type sighting struct {
	host        string
	after       rock.Revision
	incarnation string
}

// Rotate forgets what was not asked for since the turn before the last.
func (m *History) Rotate() {
	m.last, m.present = m.present, map[sighting]time.Time{}
}

// first returns the first time noted for s, which is at if there is none.
func (m *History) first(s sighting, at time.Time) time.Time {
	if m == nil {
		return at
	}
	if m.present == nil {
		m.present = map[sighting]time.Time{}
	}
	if known, ok := m.present[s]; ok {
		at = known
	} else if known, ok := m.last[s]; ok {
		at = known
	}
	m.present[s] = at
	return at
}
