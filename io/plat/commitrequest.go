package plat

import (
	rock "bramleyrock"
)

// ConditionJSON is the JSON form of a condition.
type ConditionJSON struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// WriteJSON is the JSON form of a write or deletion.
type WriteJSON struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Remove bool   `json:"remove,omitempty"`
}

// CommitRequest is the JSON form of a transaction.
type CommitRequest struct {
	Conditions []ConditionJSON `json:"conditions"`
	Writes     []WriteJSON     `json:"writes"`
}

// FromTransaction returns the JSON form of a transaction.
func FromTransaction(t rock.Transaction) CommitRequest {
	c := CommitRequest{Conditions: []ConditionJSON{}, Writes: []WriteJSON{}}
	for _, l := range t.Conditions() {
		c.Conditions = append(c.Conditions, ConditionJSON{l.Key(), l.Version()})
	}
	for _, w := range t.Writes() {
		c.Writes = append(c.Writes, WriteJSON{w.Key(), w.Value(), w.IsDelete()})
	}
	return c
}

// Transaction returns the transaction.
func (c CommitRequest) Transaction() rock.Transaction {
	var t rock.Transaction
	for _, l := range c.Conditions {
		t.Require(l.Key, l.Version)
	}
	for _, w := range c.Writes {
		if w.Remove {
			t.Delete(w.Key)
			continue
		}
		t.Put(w.Key, w.Value)
	}
	return t
}
