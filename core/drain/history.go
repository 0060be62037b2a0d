package drain

import (
	"time"

	rock "bramleyrock"
)

// History remembers when an entry was first known to do nothing more on a
// closed host, because status rows show only the latest time. The zero value
// is empty; losing it costs only time. It is not safe for concurrent use.
type History struct {
	previous, current map[reportKey]time.Time
}

// reportKey is an incarnation of an entry that is done with a host which was
// closed after the revision.
type reportKey struct {
	host         string
	openRevision rock.Revision
	incarnation  string
}

// Rotate forgets what was not asked for since the turn before the last.
func (m *History) Rotate() {
	m.previous, m.current = m.current, map[reportKey]time.Time{}
}

// firstReport returns the first time noted for s, which is at if there is none.
func (m *History) firstReport(s reportKey, at time.Time) time.Time {
	if m == nil {
		return at
	}
	if m.current == nil {
		m.current = map[reportKey]time.Time{}
	}
	if known, ok := m.current[s]; ok {
		at = known
	} else if known, ok := m.previous[s]; ok {
		at = known
	}
	m.current[s] = at
	return at
}
