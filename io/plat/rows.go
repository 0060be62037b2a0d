package plat

import (
	rock "bramleyrock"
)

// RowJSON is the JSON form of a row. A missing row has version 0.
type RowJSON struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Rows is the body of the response to a [ReadRequest] or [ScanRequest].
type Rows struct {
	Rows []RowJSON `json:"rows"`
}

// FromRows returns the JSON form of rows.
func FromRows(rows []rock.Row) Rows {
	forms := make([]RowJSON, len(rows))
	for i, r := range rows {
		forms[i] = RowJSON{r.Key(), r.Version(), r.Value()}
	}
	return Rows{forms}
}

// List returns the rows.
func (r Rows) List() []rock.Row {
	rows := make([]rock.Row, len(r.Rows))
	for i, l := range r.Rows {
		rows[i] = rock.NewRow(l.Key, l.Version, l.Value)
	}
	return rows
}
