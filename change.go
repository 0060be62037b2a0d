package rock

import (
	"encoding/json"
	"time"
)

// Change is one accepted change of records. It is an item of the feed that all
// entries follow and of the audit trail.
type Change struct {
	id       string
	revision Revision
	at       time.Time
	who      string
	why      string
	edits    []Edit
}

// NewChange returns a change. The id is chosen by the author, so that the author
// can look the change up if the answer was lost; who names the author, why gives
// the author's reason.
func NewChange(id string, revision Revision, at time.Time, who, why string, edits []Edit) Change {
	return Change{id: id, revision: revision, at: at, who: who, why: why, edits: edits}
}

// ID returns the change id.
func (c Change) ID() string { return c.id }

// Revision returns the revision that the change created.
func (c Change) Revision() Revision { return c.revision }

// At returns the time at which the change was accepted.
func (c Change) At() time.Time { return c.at }

// Who returns the author.
func (c Change) Who() string { return c.who }

// Why returns the author's reason.
func (c Change) Why() string { return c.why }

// Edits returns the edits. The caller must not change them.
func (c Change) Edits() []Edit { return c.edits }

// changeJSON is the JSON form of a Change.
type changeJSON struct {
	ChangeID string    `json:"change_id"`
	Revision Revision  `json:"revision"`
	At       time.Time `json:"at"`
	Who      string    `json:"who"`
	Why      string    `json:"why"`
	Edits    []Edit    `json:"edits"`
}

// MarshalJSON implements [json.Marshaler].
func (c Change) MarshalJSON() ([]byte, error) {
	return json.Marshal(changeJSON{c.id, c.revision, c.at, c.who, c.why, c.edits})
}

// UnmarshalJSON implements [json.Unmarshaler].
func (c *Change) UnmarshalJSON(data []byte) error {
	var f changeJSON
	if err := json.Unmarshal(data, &f); err != nil {
		return err
	}
	*c = NewChange(f.ChangeID, f.Revision, f.At, f.Who, f.Why, f.Edits)
	return nil
}
