package link

import (
	"time"

	rock "bramleyrock"
)

// changesForm asks for changes after a revision.
type changesForm struct {
	After uint64 `cbor:"1,keyasint"`
	Limit int    `cbor:"2,keyasint"`
}

// changeForm is an accepted change on the wire.
type changeForm struct {
	ID       string     `cbor:"1,keyasint"`
	Revision uint64     `cbor:"2,keyasint"`
	At       int64      `cbor:"3,keyasint"` // Unix time in nanoseconds
	Who      string     `cbor:"4,keyasint"`
	Why      string     `cbor:"5,keyasint"`
	Edits    []editForm `cbor:"6,keyasint"`
}

// editForm is an edit of one record on the wire.
type editForm struct {
	Kind rock.Kind   `cbor:"1,keyasint"`
	Name string      `cbor:"2,keyasint"`
	From *recordForm `cbor:"3,keyasint,omitempty"`
	To   *recordForm `cbor:"4,keyasint,omitempty"`
}

// recordForm is a record on the wire.
type recordForm struct {
	Kind    rock.Kind `cbor:"1,keyasint"`
	Name    string    `cbor:"2,keyasint"`
	Schema  int       `cbor:"3,keyasint"`
	Version uint64    `cbor:"4,keyasint"`
	Body    []byte    `cbor:"5,keyasint"`
}

// snapshotForm is all records at a revision.
type snapshotForm struct {
	Revision uint64       `cbor:"1,keyasint"`
	Records  []recordForm `cbor:"2,keyasint"`
}

func formOfChange(c rock.Change) changeForm {
	f := changeForm{ID: c.ID(), Revision: uint64(c.Revision()), At: c.At().UnixNano(), Who: c.Who(), Why: c.Why()}
	for _, e := range c.Edits() {
		f.Edits = append(f.Edits, editForm{e.Key().Kind(), e.Key().Name(), formOfRecord(e.From()), formOfRecord(e.To())})
	}
	return f
}

func (f changeForm) change() rock.Change {
	var edits []rock.Edit
	for _, e := range f.Edits {
		edits = append(edits, rock.NewEdit(rock.NewKey(e.Kind, e.Name), e.From.record(), e.To.record()))
	}
	return rock.NewChange(f.ID, rock.Revision(f.Revision), time.Unix(0, f.At).UTC(), f.Who, f.Why, edits)
}

func formOfRecord(r *rock.Record) *recordForm {
	if r == nil {
		return nil
	}
	return &recordForm{r.Key().Kind(), r.Key().Name(), r.Schema(), r.Version(), r.Body()}
}

func (f *recordForm) record() *rock.Record {
	if f == nil {
		return nil
	}
	r := rock.NewRecord(rock.NewKey(f.Kind, f.Name), f.Schema, f.Version, f.Body)
	return &r
}

func formOfSnapshot(revision rock.Revision, records []rock.Record) snapshotForm {
	f := snapshotForm{Revision: uint64(revision)}
	for i := range records {
		f.Records = append(f.Records, *formOfRecord(&records[i]))
	}
	return f
}

func (f *snapshotForm) records() []rock.Record {
	records := make([]rock.Record, 0, len(f.Records))
	for i := range f.Records {
		records = append(records, *f.Records[i].record())
	}
	return records
}
