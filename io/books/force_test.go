package books_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/trace"

	"gotest.tools/v3/assert"
)

const (
	changesPerDay = 17_000
	forceSeed     = 4
)

// TestForceWithinTenSeconds simulates half an hour at 17,000 changes a day, then a
// burst of 100 changes in a second. Every change must be in force at all entries
// within 10 s. During the middle third, one zone is partitioned from the platform:
// its calls fail at once or hang. Without hints from peers that zone lags behind.
func TestForceWithinTenSeconds(t *testing.T) {
	cases := map[string]struct {
		hints    bool
		hang     bool
		duration time.Duration
		holds    bool
	}{
		"with hints":    {true, false, 30 * time.Minute, true},
		"calls hang":    {true, true, 6 * time.Minute, true},
		"without hints": {false, false, 6 * time.Minute, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t)
				w.hints, w.hang = c.hints, c.hang
				runAtPlannedRate(w, c.duration)
				violations := w.violations()
				t.Logf("violations: %d; %v", len(violations), w.forceDelays())
				assert.Equal(t, len(violations) == 0, c.holds, "%v", violations)
			})
		})
	}
}

// runAtPlannedRate makes changes at random intervals for the duration, then a burst,
// and stops all entries 11 s later.
func runAtPlannedRate(w *world, duration time.Duration) {
	random := rand.New(rand.NewPCG(forceSeed, 0))
	entries := w.startAll(3, "a", "b", "c")
	time.Sleep(5 * time.Second)
	begin := time.Now()
	before := w.depot.Stats()
	mean := float64(24*time.Hour) / changesPerDay
	for i := 0; time.Since(begin) < duration; i++ {
		time.Sleep(time.Duration(random.ExpFloat64() * mean))
		if since := time.Since(begin); since > duration/3 {
			w.setPartition("c", platform, since < 2*duration/3)
		}
		n := entries[random.IntN(len(entries))]
		if w.partitioned(n.zone, platform) {
			continue
		}
		_, err := n.change(fmt.Sprintf("c%d", i), organisation(fmt.Sprintf("o%d", i), 0, i))
		assert.NilError(w.t, err)
	}
	after := w.depot.Stats()
	seconds := time.Since(begin).Seconds()
	w.t.Logf("9 entries: %.2f reads/s, %.2f writes/s, %.0f bytes/s from the platform by entry",
		float64(after.Reads-before.Reads)/seconds, float64(after.Writes-before.Writes)/seconds, float64(w.bytes.Load())/seconds/9)
	burst(entries)
	time.Sleep(11 * time.Second)
	w.stop()
}

// burst makes 100 changes in a second, spread over the entries.
func burst(entries []*testEntry) {
	for i := range 100 {
		n := entries[i%len(entries)]
		n.group.Go("change", func(context.Context) error {
			_, err := n.change(fmt.Sprintf("burst%d", i), organisation(fmt.Sprintf("burst%d", i), 0, i))
			return err
		})
		time.Sleep(10 * time.Millisecond)
	}
}

// forceDelays summarises how long after its acceptance each change was in force at
// each entry.
func (w *world) forceDelays() string {
	newest := map[string]rock.Revision{}
	var delays []time.Duration
	for _, e := range w.log.Events() {
		switch e.Kind {
		case trace.EntryStarted:
			newest[e.Entry] = 0
		case trace.ChangeInForce:
			for r := newest[e.Entry] + 1; r <= e.Revision; r++ {
				if at, ok := w.acceptedAt[r]; ok {
					delays = append(delays, e.At.Sub(at))
				}
			}
			newest[e.Entry] = max(newest[e.Entry], e.Revision)
		}
	}
	return summary(delays)
}

// summary returns the number of durations, their median, 99th percentile and
// maximum.
func summary(d []time.Duration) string {
	if len(d) == 0 {
		return "none"
	}
	slices.Sort(d)
	return fmt.Sprintf("n %d, p50 %v, p99 %v, worst %v", len(d), d[len(d)/2], d[len(d)*99/100], d[len(d)-1])
}
