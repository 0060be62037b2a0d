package rock

import "bytes"

// Row is a row of the platform's table.
type Row struct {
	key     string
	version uint64
	value   []byte
	removed bool
}

// DeletedRow returns a row that was deleted at that version.
func DeletedRow(key string, version uint64) Row {
	return Row{key: key, version: version, removed: true}
}

// NewRow returns a row. Version 0 means that the row does not exist.
func NewRow(key string, version uint64, value []byte) Row {
	return Row{key: key, version: version, value: bytes.Clone(value)}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Version returns the version of the row, which grows with every write, or 0 if
// the row does not exist.
func (r Row) Version() uint64 { return r.version }

// Value returns the row's value. The caller must not change it.
func (r Row) Value() []byte { return r.value }

// Exists reports whether the row exists.
func (r Row) Exists() bool { return r.version > 0 && !r.removed }

// Deleted reports whether a [Feed] returned the row as deleted.
func (r Row) Deleted() bool { return r.removed }
