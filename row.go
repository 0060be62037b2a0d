package rock

import "bytes"

// Row is a row of the platform's table.
type Row struct {
	key     string
	version uint64
	value   []byte
	removed bool
}

// DeletedRow returns the row as deleted at that version.
func DeletedRow(key string, version uint64) Row {
	return Row{key: key, version: version, removed: true}
}

// NewRow returns a row. Version 0 means that the row does not exist.
func NewRow(key string, version uint64, value []byte) Row {
	return Row{key: key, version: version, value: bytes.Clone(value)}
}

// Key returns the row's key.
func (r Row) Key() string { return r.key }

// Version returns how often the row was written, or 0 if it does not exist.
func (r Row) Version() uint64 { return r.version }

// Value returns the row's value. The caller must not change it.
func (r Row) Value() []byte { return r.value }

// Exists reports whether the row exists.
func (r Row) Exists() bool { return r.version > 0 && !r.removed }

// Deleted reports whether the row was deleted, as a [Feed] tells it.
func (r Row) Deleted() bool { return r.removed }
