package rock

import "encoding/json"

// Edit is the change of one record: its content before and after.
type Edit struct {
	key  Key
	from *Record
	to   *Record
}

// NewEdit returns an edit of the record with that key. A nil from means that
// the record was created, a nil to that it was deleted.
func NewEdit(key Key, from, to *Record) Edit { return Edit{key: key, from: from, to: to} }

// Key returns the key of the record.
func (e Edit) Key() Key { return e.key }

// From returns the record before the change, or nil if there was none.
func (e Edit) From() *Record { return e.from }

// To returns the record after the change, or nil if it was deleted.
func (e Edit) To() *Record { return e.to }

// editJSON is the JSON form of an Edit.
type editJSON struct {
	Kind Kind    `json:"kind"`
	Name string  `json:"name"`
	From *Record `json:"from"`
	To   *Record `json:"to"`
}

// MarshalJSON implements [json.Marshaler].
func (e Edit) MarshalJSON() ([]byte, error) {
	return json.Marshal(editJSON{e.key.kind, e.key.name, e.from, e.to})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (e *Edit) UnmarshalJSON(data []byte) error {
	var f editJSON
	if err := json.Unmarshal(data, &f); err != nil {
		return err
	}
	*e = NewEdit(NewKey(f.Kind, f.Name), f.From, f.To)
	return nil
}
