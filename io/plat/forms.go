package plat

import (
	"time"

	rock "bramleyrock"
)

// ReadCall asks for rows by key.
type ReadCall struct {
	Keys []string `json:"keys"`
}

// ScanCall asks for up to Limit rows whose keys begin with Prefix and are
// greater than After.
type ScanCall struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// RowLine is the JSON form of a row. A missing row has version 0.
type RowLine struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Rows is the answer to a [ReadCall] or [ScanCall].
type Rows struct {
	Rows []RowLine `json:"rows"`
}

// ConditionLine is the JSON form of a condition.
type ConditionLine struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// WriteLine is the JSON form of a write or deletion.
type WriteLine struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Remove bool   `json:"remove,omitempty"`
}

// CommitCall is the JSON form of a transaction.
type CommitCall struct {
	Conditions []ConditionLine `json:"conditions"`
	Writes     []WriteLine     `json:"writes"`
}

// HostLine is the JSON form of a host's status.
type HostLine struct {
	Name   string         `json:"name"`
	State  rock.HostState `json:"state"`
	Leases int            `json:"leases"`
	Boots  uint64         `json:"boots"`
	AsOf   time.Time      `json:"as_of"`
}

// HostLines is the host list.
type HostLines struct {
	Hosts []HostLine `json:"hosts"`
}

// RebootCall asks for a reboot, once for each id.
type RebootCall struct {
	ID string `json:"id"`
}

// FromRows returns the JSON form of rows.
func FromRows(rows []rock.Row) Rows {
	lines := make([]RowLine, len(rows))
	for i, r := range rows {
		lines[i] = RowLine{r.Key(), r.Version(), r.Value()}
	}
	return Rows{lines}
}

// List returns the rows.
func (r Rows) List() []rock.Row {
	rows := make([]rock.Row, len(r.Rows))
	for i, l := range r.Rows {
		rows[i] = rock.NewRow(l.Key, l.Version, l.Value)
	}
	return rows
}

// FromTransaction returns the JSON form of a transaction.
func FromTransaction(t rock.Transaction) CommitCall {
	c := CommitCall{Conditions: []ConditionLine{}, Writes: []WriteLine{}}
	for _, l := range t.Conditions() {
		c.Conditions = append(c.Conditions, ConditionLine{l.Key(), l.Version()})
	}
	for _, w := range t.Writes() {
		c.Writes = append(c.Writes, WriteLine{w.Key(), w.Value(), w.Remove()})
	}
	return c
}

// Transaction returns the transaction.
func (c CommitCall) Transaction() rock.Transaction {
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

// FromHosts returns the JSON form of a host list.
func FromHosts(list []rock.HostStatus) HostLines {
	lines := make([]HostLine, len(list))
	for i, h := range list {
		lines[i] = HostLine{h.Name(), h.State(), h.Leases(), h.Boots(), h.AsOf()}
	}
	return HostLines{lines}
}

// List returns the host list.
func (h HostLines) List() []rock.HostStatus {
	list := make([]rock.HostStatus, len(h.Hosts))
	for i, l := range h.Hosts {
		list[i] = rock.NewHostStatus(l.Name, l.State, l.Leases, l.Boots, l.AsOf)
	}
	return list
}
