package depot

import (
	"context"
	"slices"
	"strings"

	rock "bramleyrock"
)

// rowsPerRead is the number of scanned rows that count as one read.
const rowsPerRead = 100

// Read implements [rock.Table].
func (d *Depot) Read(ctx context.Context, keys ...string) ([]rock.Row, error) {
	if err := d.enter(ctx, "read", "table"); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.charge(d.reads, &d.stats.Reads, len(keys), "read", "table"); err != nil {
		return nil, err
	}
	rows := make([]rock.Row, len(keys))
	for i, k := range keys {
		rows[i] = d.row(k)
	}
	return rows, nil
}

// row returns a row, which has version 0 if it is missing.
func (d *Depot) row(key string) rock.Row {
	if r, ok := d.rows[key]; ok {
		return r
	}
	return rock.NewRow(key, 0, nil)
}

// Scan implements [rock.Table].
func (d *Depot) Scan(ctx context.Context, prefix, after string, limit int) ([]rock.Row, error) {
	if limit <= 0 {
		return nil, rock.Fail("scan", prefix, rock.BadInput, rock.NotRun).Becausef("limit %d: want 1 or more", limit)
	}
	if err := d.enter(ctx, "scan", prefix); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := d.match(prefix, after, limit)
	cost := (len(rows) + rowsPerRead - 1) / rowsPerRead
	if err := d.charge(d.reads, &d.stats.Reads, cost, "scan", prefix); err != nil {
		return nil, err
	}
	return rows, nil
}

func (d *Depot) match(prefix, after string, limit int) []rock.Row {
	var keys []string
	for k := range d.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	rows := make([]rock.Row, min(limit, len(keys)))
	for i := range rows {
		rows[i] = d.rows[keys[i]]
	}
	return rows
}

// Commit implements [rock.Table]. The version of a row grows by one with each
// write, and goes on growing when the row is deleted and written again, so
// that no version of a key ever repeats.
func (d *Depot) Commit(ctx context.Context, t rock.Transaction) error {
	if err := d.enter(ctx, "commit", "table"); err != nil {
		return d.commitLate(t, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.charge(d.writes, &d.stats.Writes, len(t.Writes()), "commit", "table"); err != nil {
		return err
	}
	if d.faults.LoseCalls > 0 {
		d.faults.LoseCalls--
		return unsettled("call lost")
	}
	if err := d.apply(t); err != nil {
		return err
	}
	if d.losesAnswer() {
		d.stats.LostAnswers++
		return unsettled("answer lost")
	}
	return nil
}

// commitLate ends a commit that did not pass the faults. If its caller gave up
// while the platform was slow, it takes effect by chance.
func (d *Depot) commitLate(t rock.Transaction, err error) error {
	if rock.ReasonOf(err) == rock.Unavailable {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.SlowMS == 0 {
		return err
	}
	if d.random.IntN(2) == 0 && d.apply(t) == nil {
		d.stats.LostAnswers++
	}
	return unsettled("caller gave up")
}

// unsettled returns the failure of a commit that may have taken effect.
func unsettled(cause string) error {
	return rock.Fail("commit", "table", rock.OutcomeUnknown, rock.MayHaveRun).Becausef("%s", cause)
}

// losesAnswer reports whether the answer of the present commit is lost.
func (d *Depot) losesAnswer() bool {
	if d.faults.LoseAnswers > 0 {
		d.faults.LoseAnswers--
		return true
	}
	return d.faults.LoseShare > 0 && d.random.Float64() < d.faults.LoseShare
}

// apply makes all writes if all conditions hold. The caller holds the lock.
func (d *Depot) apply(t rock.Transaction) error {
	for _, c := range t.Conditions() {
		if v := d.row(c.Key()).Version(); v != c.Version() {
			d.stats.Conflicts++
			return rock.Fail("commit", c.Key(), rock.Conflict, rock.NotRun).
				Becausef("row has version %d, not %d", v, c.Version())
		}
	}
	for _, w := range t.Writes() {
		d.versions[w.Key()]++
		if w.IsDelete() {
			delete(d.rows, w.Key())
			continue
		}
		d.rows[w.Key()] = rock.NewRow(w.Key(), d.versions[w.Key()], w.Value())
	}
	d.stats.Commits++
	return nil
}
