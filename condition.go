package rock

// Condition is a condition of a [Transaction] on the version of a row.
type Condition struct {
	key     string
	version uint64
}

// Key returns the key of the row.
func (c Condition) Key() string { return c.key }

// Version returns the version that the row must have; 0 means that the row must
// not exist.
func (c Condition) Version() uint64 { return c.version }
