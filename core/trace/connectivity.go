package trace

import "time"

// connectivity follows which entries are cut off.
type connectivity struct {
	cut           map[string]bool
	reconnectedAt map[string]time.Time
}

// newConnectivity returns a reach in which no entry is cut off.
func newConnectivity() *connectivity {
	return &connectivity{cut: map[string]bool{}, reconnectedAt: map[string]time.Time{}}
}

// observe takes in one event.
func (c *connectivity) observe(e Event) {
	switch e.Kind {
	case EntryCut:
		c.cut[e.Entry] = true
	case EntryHealed:
		c.cut[e.Entry] = false
		c.reconnectedAt[e.Entry] = e.At
	}
}

// cutSince reports whether the entry is cut off or was so after the time.
func (c *connectivity) cutSince(entry string, since time.Time) bool {
	return c.cut[entry] || c.reconnectedAt[entry].After(since)
}
