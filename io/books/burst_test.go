package books_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
)

// TestBurstThroughAllEntries commits 100 changes in a second through nine entries
// while each call of the platform takes 5 ms. All must be accepted and in force at
// every entry within 10 s, without exceeding the platform's rate limits.
func TestBurstThroughAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.stop()
		entries := w.startAll(3, "a", "b", "c")
		time.Sleep(5 * time.Second)
		w.depot.SetFaults(depot.Faults{SlowMS: 5})
		begin, before := time.Now(), w.depot.Stats()
		var waits []time.Duration
		g := group.New(context.Background())
		for i := range 100 {
			n, at := entries[i%len(entries)], time.Now()
			g.Go("change", func(context.Context) error {
				name := fmt.Sprintf("o%d", i)
				_, err := n.change(name, organisation(name, 0, i))
				w.mu.Lock()
				defer w.mu.Unlock()
				waits = append(waits, time.Since(at))
				return err
			})
			time.Sleep(10 * time.Millisecond)
		}
		assert.Check(t, g.Wait())
		after := w.depot.Stats()
		t.Logf("accepted within %v: %s", time.Since(begin), summary(waits))
		t.Logf("commits %d, conflicts %d, writes %d, reads %d, throttled %d", after.Commits-before.Commits,
			after.Conflicts-before.Conflicts, after.Writes-before.Writes, after.Reads-before.Reads, after.Throttled)
		assert.Check(t, after.Throttled == 0, "the platform's rates are exceeded")
		time.Sleep(10 * time.Second)
		w.checkSameEverywhere()
		assert.Check(t, len(entries[0].books.Config().Records(rock.KindOrganisation)) == 100)
		assert.Check(t, entries[0].books.Revision() == 100)
		assert.Check(t, len(w.violations()) == 0)
		assert.Check(t, time.Since(begin) < 14*time.Second)
	})
}
