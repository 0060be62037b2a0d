package record

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// object is a JSON object under construction.
type object map[string]any

// encode returns the object with the extra fields added. It fails if one of
// them has the name of a field of the object's schema.
func (o object) encode(extra Extra, known []string) (json.RawMessage, error) {
	whole := maps.Clone(o)
	for name, value := range extra.raw {
		if slices.Contains(known, name) {
			return nil, fmt.Errorf("field %s means something else in this schema version", name)
		}
		whole[name] = value
	}
	return json.Marshal(whole)
}
