package record

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// object is a JSON object under construction.
type object map[string]any

// encode returns the JSON of o with the unknown fields in extra added. It fails if
// one of them has the name of a known field, as happens when a record is converted
// to a schema version that gives the name another meaning.
func (o object) encode(extra Extra, known []string) (json.RawMessage, error) {
	merged := maps.Clone(o)
	for name, value := range extra.raw {
		if slices.Contains(known, name) {
			return nil, fmt.Errorf("field %s has another meaning in this schema version", name)
		}
		merged[name] = value
	}
	return json.Marshal(merged)
}
