package site

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	rock "bramleyrock"
)

// memStore is a store in memory.
type memStore struct {
	mu      sync.Mutex
	rows    map[string]rock.Row
	version uint64
	// calls and bytes count all transactions and lists, and the sizes of written values.
	calls int
	bytes int
	// refuse returns the error of a transaction that is not applied, or nil.
	refuse func(t rock.Transaction) error
}

func newMemStore() *memStore { return &memStore{rows: map[string]rock.Row{}} }

func (d *memStore) Apply(_ context.Context, t rock.Transaction) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.refuse != nil {
		if err := d.refuse(t); err != nil {
			return 0, err
		}
	}
	for _, c := range t.Conditions() {
		if d.rows[c.Key()].Version() != c.Version() {
			return 0, rock.Fail("commit", "table", rock.Conflict, rock.NotRun)
		}
	}
	d.version++
	for _, w := range t.Writes() {
		d.bytes += len(w.Value())
		if w.IsDelete() {
			delete(d.rows, w.Key())
		} else {
			d.rows[w.Key()] = rock.NewRow(w.Key(), d.version, w.Value())
		}
	}
	return d.version, nil
}

func (d *memStore) List(_ context.Context, table, part, from, to string) (rock.Changes, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	c := rock.Changes{Version: d.version}
	for k, r := range d.rows {
		name, ok := strings.CutPrefix(k, key(table, part, ""))
		if ok && name >= from && (to == "" || name < to) {
			c.Rows = append(c.Rows, r)
		}
	}
	slices.SortFunc(c.Rows, func(a, b rock.Row) int { return strings.Compare(a.Key(), b.Key()) })
	return c, nil
}

func (d *memStore) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) (rock.Changes, error) {
	<-ctx.Done()
	return rock.Changes{}, ctx.Err()
}

func (d *memStore) Parts(context.Context, string) ([]string, error) { return nil, nil }

// put writes a row without conditions.
func (d *memStore) put(k string, value []byte) {
	var t rock.Transaction
	t.Put(k, value)
	_, _ = d.Apply(context.Background(), t) // there are no conditions
}

// values returns the values of the rows by key.
func (d *memStore) values() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]string{}
	for k, r := range d.rows {
		all[k] = string(r.Value())
	}
	return all
}
