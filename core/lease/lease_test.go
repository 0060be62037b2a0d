package lease_test

import (
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/lease"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// commit applies the transaction to the row if its conditions hold, as the
// platform does, and reports whether they hold.
func commit(row *rock.Row, t rock.Transaction) bool {
	for _, c := range t.Conditions() {
		if c.Version() != row.Version() {
			return false
		}
	}
	for _, w := range t.Writes() {
		*row = rock.NewRow(w.Key(), row.Version()+1, w.Value())
	}
	return true
}

func acquireOrRenew(t *testing.T, row *rock.Row, now time.Time, entry string) (lease.Lease, lease.Action) {
	t.Helper()
	before, err := lease.Parse("mover", *row)
	assert.NilError(t, err)
	after, action := lease.Terms{}.Next(now, entry, before)
	if action == lease.Acquire || action == lease.Renew {
		var tx rock.Transaction
		assert.NilError(t, after.AddTo(&tx, before))
		assert.Assert(t, commit(row, tx))
	}
	return after, action
}

func TestNext(t *testing.T) {
	cases := map[string]struct {
		entry string
		after time.Duration
		want  lease.Action
		epoch uint64
	}{
		"holder need not renew":                {"e1", 2 * time.Second, lease.Hold, 1},
		"holder renews":                        {"e1", 6 * time.Second, lease.Renew, 1},
		"holder near expiry acquires again":    {"e1", 14 * time.Second, lease.Acquire, 2},
		"other waits for the expiry":           {"e2", 14 * time.Second, lease.Wait, 1},
		"other waits within the skew":          {"e2", 16 * time.Second, lease.Wait, 1},
		"other acquires after expiry and skew": {"e2", 17 * time.Second, lease.Acquire, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var row rock.Row
			acquireOrRenew(t, &row, start, "e1")
			got, action := acquireOrRenew(t, &row, start.Add(c.after), c.entry)
			assert.Equal(t, action, c.want)
			assert.Equal(t, got.Epoch(), c.epoch)
		})
	}
}

func TestGuardFencesPausedHolder(t *testing.T) {
	var row rock.Row
	held, _ := acquireOrRenew(t, &row, start, "e1")
	assert.Assert(t, commit(&row, held.Guard()))
	acquireOrRenew(t, &row, start.Add(time.Minute), "e2")
	assert.Assert(t, !commit(&row, held.Guard()), "the paused holder's write must fail")
}

func TestOneOfTwoContendersWins(t *testing.T) {
	var row rock.Row
	before, err := lease.Parse("mover", row)
	assert.NilError(t, err)
	won := 0
	for _, entry := range []string{"e1", "e2"} {
		after, _ := lease.Terms{}.Next(start, entry, before)
		var tx rock.Transaction
		assert.NilError(t, after.AddTo(&tx, before))
		if commit(&row, tx) {
			won++
		}
	}
	assert.Equal(t, won, 1)
}

func TestReleasedLeaseIsFree(t *testing.T) {
	var row rock.Row
	held, _ := acquireOrRenew(t, &row, start, "e1")
	var tx rock.Transaction
	assert.NilError(t, lease.Terms{}.Release(held).AddTo(&tx, held))
	assert.Assert(t, commit(&row, tx))
	got, action := acquireOrRenew(t, &row, start, "e2")
	assert.Equal(t, action, lease.Acquire)
	assert.Equal(t, got.Epoch(), uint64(2))
}

func TestParseRejectsMalformedRow(t *testing.T) {
	_, err := lease.Parse("mover", rock.NewRow("lease/mover", 3, []byte("{")))
	assert.ErrorContains(t, err, `lease row "lease/mover"`)
}
