package record

import (
	"encoding/json"
	"maps"
	"slices"
)

// Extra holds the fields of a JSON object that this program does not know, so
// that they survive when it writes the record back. The zero value is empty.
type Extra struct {
	raw map[string]json.RawMessage
}

// Names returns the names of the fields, sorted.
func (e Extra) Names() []string { return slices.Sorted(maps.Keys(e.raw)) }

// Get returns the value of a field, or nil.
func (e Extra) Get(name string) json.RawMessage { return e.raw[name] }

// With returns a copy of e in which the field has this value; nil removes it.
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

// empty reports whether there are none.
func (e Extra) empty() bool { return len(e.raw) == 0 }
