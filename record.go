package rock

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Record is one versioned record: the configuration and state of an
// organisation, pool, host, budget, wave or move.
type Record struct {
	key     Key
	schema  int
	version uint64
	body    json.RawMessage
}

// NewRecord returns a record. In a proposal, the version is the version that the
// record replaces, or 0 if it is new; in a configuration, it is the current
// version. The body is a JSON object with field names in snake case.
func NewRecord(key Key, schema int, version uint64, body json.RawMessage) Record {
	return Record{key: key, schema: schema, version: version, body: bytes.Clone(body)}
}

// Key returns the record's key.
func (r Record) Key() Key { return r.key }

// Schema returns the schema version of the body, 1 or greater.
func (r Record) Schema() int { return r.schema }

// Version returns the record's version; see [NewRecord].
func (r Record) Version() uint64 { return r.version }

// Body returns the JSON body. The caller must not change it.
func (r Record) Body() json.RawMessage { return r.body }

// WithVersion returns a copy of r with another version.
func (r Record) WithVersion(version uint64) Record {
	r.version = version
	return r
}

// recordJSON is the JSON form of a Record.
type recordJSON struct {
	Kind          Kind            `json:"kind"`
	Name          string          `json:"name"`
	SchemaVersion int             `json:"schema_version"`
	Version       uint64          `json:"version,omitempty"`
	Body          json.RawMessage `json:"body"`
}

// MarshalJSON implements [json.Marshaler].
func (r Record) MarshalJSON() ([]byte, error) {
	return json.Marshal(recordJSON{r.key.kind, r.key.name, r.schema, r.version, r.body})
}

// UnmarshalJSON implements [json.Unmarshaler]. It refuses unknown fields, but does
// not check kind, name and body; these are checked when a change is applied.
func (r *Record) UnmarshalJSON(data []byte) error {
	var f recordJSON
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return fmt.Errorf("decode record: %w", err)
	}
	*r = Record{NewKey(f.Kind, f.Name), f.SchemaVersion, f.Version, f.Body}
	return nil
}
