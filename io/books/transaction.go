package books

import (
	"encoding/json"
	"maps"
	"slices"

	rock "bramleyrock"
	"bramleyrock/core/feed"
)

// transaction collects the changes of one commit.
type transaction struct {
	// rows are the rows as they were read, by key.
	rows map[string]rock.Row
	// config is the configuration after changes.
	config  *feed.Config
	changes []rock.Change
	// records holds the new records by key; nil stands for a deletion.
	records map[string]*rock.Record
	guard   rock.Transaction
}

func newTransaction(config *feed.Config, rows map[string]rock.Row) *transaction {
	return &transaction{rows: rows, config: config, records: map[string]*rock.Record{}}
}

// checkRows returns an error if the rows of the records that c edits differ from
// the feed. That happens only if a program other than an entry wrote to the table.
func (t *transaction) checkRows(c rock.Change) error {
	for _, e := range c.Edits() {
		key := recordKey(e.Key())
		if _, ok := t.records[key]; ok {
			continue
		}
		var r rock.Record
		row := t.rows[key]
		if row.Exists() && json.Unmarshal(row.Value(), &r) != nil || row.Exists() != (e.From() != nil) ||
			row.Exists() && r.Version() != e.From().Version() {
			return rock.Fail("change", e.Key().String(), rock.Internal, rock.NotRun).
				Becausef("row %s does not hold what the feed says", key)
		}
	}
	return nil
}

// add adds a change that leads to the configuration next.
func (t *transaction) add(c rock.Change, next *feed.Config, guard rock.Transaction) {
	t.config = next
	t.changes = append(t.changes, c)
	t.guard = guard
	for _, e := range c.Edits() {
		t.records[recordKey(e.Key())] = e.To()
	}
}

// build returns the transaction to commit to the platform's table.
func (t *transaction) build() rock.Transaction {
	var x rock.Transaction
	x.Require(headKey, t.rows[headKey].Version())
	x.Put(headKey, mustEncode(revisionRow{t.config.Revision()}))
	for _, c := range t.changes {
		x.Require(changeIDKey(c.ID()), 0)
		x.Put(changeIDKey(c.ID()), mustEncode(revisionRow{c.Revision()}))
		x.Require(changeKey(c.Revision()), 0)
		x.Put(changeKey(c.Revision()), mustEncode(c))
	}
	for _, key := range slices.Sorted(maps.Keys(t.records)) {
		x.Require(key, t.rows[key].Version())
		if r := t.records[key]; r == nil {
			x.Delete(key)
		} else {
			x.Put(key, mustEncode(*r))
		}
	}
	for _, c := range t.guard.Conditions() {
		x.Require(c.Key(), c.Version())
	}
	for _, w := range t.guard.Writes() {
		if w.IsDelete() {
			x.Delete(w.Key())
		} else {
			x.Put(w.Key(), w.Value())
		}
	}
	return x
}
