package rock

// Write is a write or deletion of a row in a [Transaction].
type Write struct {
	key    string
	value  []byte
	remove bool
}

// Key returns the key of the row.
func (w Write) Key() string { return w.key }

// Value returns the new value.
func (w Write) Value() []byte { return w.value }

// IsDelete reports whether the row is deleted.
func (w Write) IsDelete() bool { return w.remove }
