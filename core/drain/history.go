package drain

import (
	"time"

	rock "bramleyrock"
)

// History holds the times at which entries were first known to be done with
// closed hosts. It is needed because an entry's status row has only the time of
// the latest report: that time grows with each report, so the platform's view of a
// host might never be newer. The zero value is empty. A lost History only delays
// proofs. It is not safe for concurrent use.
type History struct {
	previous, current map[reportKey]time.Time
}

// reportKey identifies the report of an entry's incarnation that it is done with a
// host which was closed after openRevision.
type reportKey struct {
	host         string
	openRevision rock.Revision
	incarnation  string
}

// Rotate discards the times that were not used since the second last call of
// Rotate. It should be called once per round.
func (h *History) Rotate() {
	h.previous, h.current = h.current, map[reportKey]time.Time{}
}

// firstReport returns the time recorded for k. If there is none, it records and
// returns at.
func (h *History) firstReport(k reportKey, at time.Time) time.Time {
	if h == nil {
		return at
	}
	if h.current == nil {
		h.current = map[reportKey]time.Time{}
	}
	if known, ok := h.current[k]; ok {
		at = known
	} else if known, ok := h.previous[k]; ok {
		at = known
	}
	h.current[k] = at
	return at
}
