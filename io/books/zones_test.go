package books_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/books"

	"gotest.tools/v3/assert"
)

const zoneSchedules = 6

// TestZonesReconnectInAnyOrder partitions three zones from each other and from the
// platform, one link at a time in a random, seeded order, and restores the six
// links in another order. Throughout, each zone must serve at least the
// configuration that it had. Changes must be accepted through zones that reach the
// platform and refused as not_run elsewhere. Each zone that reaches the platform,
// or a peer that does, must have every accepted change in force within 10 s. A
// backoff that grows to minutes violates this.
func TestZonesReconnectInAnyOrder(t *testing.T) {
	cases := map[string]struct {
		maxBackoff time.Duration
		schedules  uint64
		holds      bool
	}{
		"default settings":   {0, zoneSchedules, true},
		"backoff to minutes": {5 * time.Minute, 5, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			violations := 0
			for seed := range c.schedules {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t)
					defer w.stop()
					w.tune = func(s *books.Settings) { s.MaxBackoff = c.maxBackoff }
					partitionZones(w, seed)
					for _, v := range w.violations() {
						violations++
						if c.holds {
							t.Errorf("seed %d: %v", seed, v)
						}
					}
					if c.holds {
						w.checkSameEverywhere()
					}
				})
			}
			t.Logf("violations in %d schedules: %d", c.schedules, violations)
			assert.Check(t, (violations == 0) == c.holds)
		})
	}
}

// partitionZones cuts and restores the links between zones and the platform, and
// makes a change through every entry after each step.
func partitionZones(w *world, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 6))
	w.startAll(2, "a", "b", "c")
	time.Sleep(5 * time.Second)
	w.mustChange(w.running()[0], "first")
	time.Sleep(2 * time.Second)
	links := [][2]string{{"a", "b"}, {"a", "c"}, {"b", "c"}, {"a", platform}, {"b", platform}, {"c", platform}}
	step := 0
	for _, cut := range []bool{true, false} {
		for _, i := range random.Perm(len(links)) {
			w.setPartition(links[i][0], links[i][1], cut)
			w.changeThroughAll(step)
			step++
			time.Sleep(time.Duration(random.IntN(20_000)) * time.Millisecond)
		}
		time.Sleep(2 * time.Minute)
	}
}

// changeThroughAll proposes a change through every entry. It must be accepted if the
// entry reaches the platform, and refused as not_run if not.
func (w *world) changeThroughAll(step int) {
	for _, n := range w.running() {
		f, ok := n.books.Fleet()
		assert.Check(w.t, ok && f.Quota("first") == 1, "%s does not serve the configuration that it had", n.name)
		id := fmt.Sprintf("%s.%d", n.name, step)
		_, err := n.change(id, organisation(id, 0, 1))
		if w.partitioned(n.zone, platform) {
			assert.Check(w.t, rock.VerdictOf(err) == rock.NotRun, "%v", err)
		} else {
			assert.Check(w.t, err)
		}
	}
}
