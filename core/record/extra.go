package record

import (
	"encoding/json"
	"maps"
	"slices"
)

// Extra holds the unknown fields of a JSON object, so that they are preserved when
// the record is written back. The zero value is empty.
type Extra struct {
	raw map[string]json.RawMessage
}

// Names returns the names of the fields, sorted.
func (e Extra) Names() []string { return slices.Sorted(maps.Keys(e.raw)) }

// Get returns the value of a field, or nil.
func (e Extra) Get(name string) json.RawMessage { return e.raw[name] }

// With returns a copy of e in which the field has that value; a nil value removes
// the field.
func (e Extra) With(name string, value json.RawMessage) Extra {
	raw := maps.Clone(e.raw)
	if raw == nil {
		raw = map[string]json.RawMessage{}
	}
	if value == nil {
		delete(raw, name)
	} else {
		raw[name] = value
	}
	return Extra{raw: raw}
}

// empty reports whether e has no fields.
func (e Extra) empty() bool { return len(e.raw) == 0 }
