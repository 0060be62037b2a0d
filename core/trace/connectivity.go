package trace

import "time"

// connectivity tracks which entries are cut off from the platform.
type connectivity struct {
	cut           map[string]bool // true while cut off
	reconnectedAt map[string]time.Time
}

// newConnectivity returns a tracker for which no entry is cut off.
func newConnectivity() *connectivity {
	return &connectivity{cut: map[string]bool{}, reconnectedAt: map[string]time.Time{}}
}

// observe updates the state of an entry from an [EntryCut] or [EntryHealed] event
// and ignores all others. Events must be observed in order of time.
func (c *connectivity) observe(e Event) {
	switch e.Kind {
	case EntryCut:
		c.cut[e.Entry] = true
	case EntryHealed:
		c.cut[e.Entry] = false
		c.reconnectedAt[e.Entry] = e.At
	}
}

// cutSince reports whether the entry is cut off, or was so at any time after since.
func (c *connectivity) cutSince(entry string, since time.Time) bool {
	return c.cut[entry] || c.reconnectedAt[entry].After(since)
}
