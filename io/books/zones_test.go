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

// TestZonesHealInAnyOrder cuts three zones from each other and from the
// platform in a seeded order, and heals the six links in another, some seconds
// apart. Meanwhile each zone serves what it had, changes are accepted through
// zones that reach the platform and refused as not_run elsewhere. Each zone
// that reaches the platform, or a peer that does, has every accepted change in
// force within 10 s. Polling a platform that was away ever less often breaks
// this.
func TestZonesHealInAnyOrder(t *testing.T) {
	cases := map[string]struct {
		maxBackoff time.Duration
		schedules  uint64
		holds      bool
	}{
		"as built":           {0, zoneSchedules, true},
		"backoff to minutes": {5 * time.Minute, 5, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			broken := 0
			for seed := range c.schedules {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t)
					defer w.stop()
					w.tune = func(s *books.Settings) { s.MaxBackoff = c.maxBackoff }
					replayZones(w, seed)
					for _, v := range w.judge() {
						broken++
						if c.holds {
							t.Errorf("seed %d: %v", seed, v)
						}
					}
					if c.holds {
						w.sameEverywhere()
					}
				})
			}
			t.Logf("broken outcomes in %d schedules: %d", c.schedules, broken)
			assert.Check(t, (broken == 0) == c.holds)
		})
	}
}

func replayZones(w *world, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 6))
	w.startAll(2, "a", "b", "c")
	time.Sleep(5 * time.Second)
	w.mustChange(w.running()[0], "first")
	time.Sleep(2 * time.Second)
	links := [][2]string{{"a", "b"}, {"a", "c"}, {"b", "c"}, {"a", platform}, {"b", platform}, {"c", platform}}
	step := 0
	for _, cut := range []bool{true, false} {
		for _, i := range random.Perm(len(links)) {
			w.split(links[i][0], links[i][1], cut)
			w.tryAll(step)
			step++
			time.Sleep(time.Duration(random.IntN(20_000)) * time.Millisecond)
		}
		time.Sleep(2 * time.Minute)
	}
}

// tryAll tries a change through every entry and wants it to be accepted if the
// entry reaches the platform, and refused as not_run if not.
func (w *world) tryAll(step int) {
	for _, n := range w.running() {
		f, ok := n.books.Fleet()
		assert.Check(w.t, ok && f.Quota("first") == 1, "%s does not serve what it had", n.name)
		id := fmt.Sprintf("%s.%d", n.name, step)
		_, err := n.change(id, organisation(id, 0, 1))
		if w.apart(n.zone, platform) {
			assert.Check(w.t, rock.VerdictOf(err) == rock.NotRun, "%v", err)
		} else {
			assert.Check(w.t, err)
		}
	}
}
