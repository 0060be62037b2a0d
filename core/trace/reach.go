package trace

import "time"

// reach follows which entries are cut off.
type reach struct {
	cut    map[string]bool
	healed map[string]time.Time
}

// newReach returns a reach in which no entry is cut off.
func newReach() *reach {
	return &reach{cut: map[string]bool{}, healed: map[string]time.Time{}}
}

// note takes in one event.
func (c *reach) note(e Event) {
	switch e.Kind {
	case EntryCut:
		c.cut[e.Entry] = true
	case EntryHealed:
		c.cut[e.Entry] = false
		c.healed[e.Entry] = e.At
	}
}

// cutSince reports whether the entry is cut off or was so after the time.
func (c *reach) cutSince(entry string, since time.Time) bool {
	return c.cut[entry] || c.healed[entry].After(since)
}
