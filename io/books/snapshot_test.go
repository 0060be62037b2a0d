package books_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/books"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
)

// compacted returns a platform with five changes and a snapshot at revision 4.
func compacted(t *testing.T) *depot.Depot {
	d := depot.New(depot.Settings{})
	s := settings(d)
	s.SnapshotEvery = 4
	b := books.New(s)
	for i := range 4 {
		change(t, b, fmt.Sprintf("c%d", i), organisation(fmt.Sprintf("o%d", i), 0, i))
	}
	r, err := b.Compact(context.Background(), rock.Transaction{})
	assert.NilError(t, err)
	assert.Equal(t, r, rock.Revision(4))
	change(t, b, "c4", organisation("o4", 0, 4))
	return d
}

// TestSnapshotsAreChecked starts an entry while the newest snapshot is missing,
// corrupt or at the wrong revision. The entry must still reach the configuration
// that results from the feed.
func TestSnapshotsAreChecked(t *testing.T) {
	name := fmt.Sprintf("snapshot/%020d", 4)
	cases := map[string]func(d *depot.Depot) error{
		"whole":   func(*depot.Depot) error { return nil },
		"missing": func(d *depot.Depot) error { return d.Remove(context.Background(), name) },
		"damaged": func(d *depot.Depot) error { return d.Put(context.Background(), name, []byte(`{"revision":4,"rec`)) },
		"other revision": func(d *depot.Depot) error {
			return d.Put(context.Background(), name, []byte(`{"revision":5,"digest":"","records":[]}`))
		},
		"wrong digest": func(d *depot.Depot) error {
			return d.Put(context.Background(), name, []byte(`{"revision":4,"digest":"sha256:00","records":[]}`))
		},
		"newer than head": func(d *depot.Depot) error {
			valid := fmt.Sprintf(`{"revision":6,"digest":"sha256:%x","records":[]}`, sha256.Sum256([]byte("[]")))
			return errors.Join(setNewest(d, `{"revision":6}`), d.Put(context.Background(), fmt.Sprintf("snapshot/%020d", 6), []byte(valid)))
		},
		"damaged row": func(d *depot.Depot) error { return setNewest(d, `{"rev`) },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			d := compacted(t)
			assert.NilError(t, corrupt(d))
			b := entry(t, settings(d))
			waitForRevision(t, b, 5)
			assert.Equal(t, len(b.Config().Records(rock.KindOrganisation)), 5)
			assert.Equal(t, b.Config().Quota("o3"), 3)
		})
	}
}

// setNewest writes the row that holds the newest snapshot's revision.
func setNewest(d *depot.Depot, value string) error {
	var t rock.Transaction
	t.Put("snapshot", []byte(value))
	return d.Commit(context.Background(), t)
}

// A snapshot whose guard does not hold, because the lease of the duty has changed,
// does not become the newest one.
func TestSnapshotNeedsTheGuard(t *testing.T) {
	d := compacted(t)
	s := settings(d)
	s.SnapshotEvery = 1
	b := entry(t, s)
	waitForRevision(t, b, 5)
	var guard rock.Transaction
	guard.Require("lease/snapshot", 7)
	_, err := b.Compact(context.Background(), guard)
	assert.Equal(t, rock.ReasonOf(err), rock.Conflict)
	r, err := b.Compact(context.Background(), rock.Transaction{})
	assert.NilError(t, err)
	assert.Equal(t, r, rock.Revision(5))
}

// TestForceOnSlowPlatform makes changes while each call of the platform takes 2 s,
// and then one while calls take 5 s, longer than the call timeout. The former must
// be accepted, the latter refused as not_run, and all accepted changes in force
// everywhere within 10 s.
func TestForceOnSlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		entries := w.startAll(2, "a", "b", "c")
		time.Sleep(5 * time.Second)
		w.depot.SetFaults(depot.Faults{SlowMS: 2000})
		for i := range 10 {
			w.mustChange(entries[i%6], fmt.Sprintf("slow%d", i))
		}
		time.Sleep(10 * time.Second)
		w.depot.SetFaults(depot.Faults{SlowMS: 5000})
		_, err := entries[0].change("too-slow", organisation("too-slow", 0, 1))
		assert.Check(t, rock.VerdictOf(err) == rock.NotRun, "%v", err)
		time.Sleep(time.Minute)
		w.depot.SetFaults(depot.Faults{})
		w.mustChange(entries[1], "after")
		time.Sleep(10 * time.Second)
		w.checkSameEverywhere()
		assert.Check(t, len(w.violations()) == 0, "%v", w.violations())
		t.Log(w.forceDelays())
	})
}
