package drive

import (
	"slices"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/sched"

	"gotest.tools/v3/assert"
)

// wide is a zone with one pool of ten hosts at half of what they can do, whose
// hosts with these numbers fail all that they start between 5 s and 15 s.
func wide(seed uint64, failing string) plan {
	return plan{
		seed: seed, pools: 1, hosts: 10, slots: 8, entries: 2,
		service: 100 * time.Millisecond, timeout: 2 * time.Second, length: 20 * time.Second,
		rate: func(int, time.Duration) float64 { return 400 },
		fails: func(host string, at time.Duration) bool {
			return at >= 5*time.Second && at < 15*time.Second && strings.Contains(failing, host[len(host)-1:])
		},
	}
}

func TestFailFastWorkerIsNoSink(t *testing.T) {
	t.Parallel()
	const seed = 7
	share := func(change func(s *sched.Settings)) float64 {
		c := newDrive(wide(seed, "3").with(change)).run()[0]
		t.Logf("seed %d: offered %d, failed %d, of them %d after 20 failures of hosts", seed, c.offered, c.failed, c.lostAfter)
		return float64(c.lostAfter) / float64(c.offered)
	}
	got := share(func(*sched.Settings) {})
	assert.Assert(t, got < 0.01, "%.4f of requests lost", got)
	baseline := share(func(s *sched.Settings) { s.Place.DisableEjection = true })
	assert.Assert(t, baseline > 0.01, "without ejection %.4f of requests lost", baseline)
}

func TestFailureOfHalfLeavesTheRest(t *testing.T) {
	t.Parallel()
	most := 0
	p := wide(8, "01234")
	p.watch = func(now time.Time, s *sched.Scheduler) {
		names := s.EjectedHosts(now, "p0")
		most = max(most, len(names))
		for _, name := range names {
			assert.Assert(t, strings.Contains("01234", name[len(name)-1:]), "healthy host %s is ejected", name)
		}
	}
	c := newDrive(p).run()[0]
	t.Logf("seed 8: offered %d, failed %d, at most %d hosts ejected", c.offered, c.failed, most)
	assert.Equal(t, most, 3)
}

func TestFailureOfAllEjectsNobody(t *testing.T) {
	t.Parallel()
	p := wide(9, "0123456789")
	p.watch = func(now time.Time, s *sched.Scheduler) { assert.Equal(t, len(s.EjectedHosts(now, "p0")), 0) }
	newDrive(p).run()
}

func TestBadWorkEjectsNobody(t *testing.T) {
	t.Parallel()
	p := wide(10, "")
	p.bad = func(n int) bool { return n%5 == 0 }
	p.watch = func(now time.Time, s *sched.Scheduler) { assert.Equal(t, len(s.EjectedHosts(now, "p0")), 0) }
	c := newDrive(p).run()[0]
	assert.Assert(t, c.useful > c.offered*3/4)
}

func TestCancellationsLeaveNoSlotTaken(t *testing.T) {
	t.Parallel()
	p := wide(11, "")
	p.rate = func(int, time.Duration) float64 { return 1000 }
	p.service, p.timeout, p.length = 2*time.Second, time.Minute, 14*time.Second
	p.cancelled = func(n int) (time.Duration, bool) { return time.Duration(n%40) * 10 * time.Millisecond, true }
	d := newDrive(p)
	c := d.run()[0]
	t.Logf("seed 11: offered %d, cancelled while waiting %d, while running %d", c.offered, c.expired, c.failed)
	assert.Assert(t, c.expired+c.failed >= 10_000)
	for _, entry := range d.entries {
		load := entry.Load("p0", rock.Normal)
		assert.Equal(t, load.InFlight(), 0)
		assert.Equal(t, load.Queued(), 0)
	}
	for host, n := range d.busy {
		assert.Equal(t, n, 0, host)
	}
}

// worstLoad returns the greatest ratio of attempts to requests in any second
// of the failure.
func worstLoad(c *tally) float64 {
	worst := 0.0
	for second := 5; second < 15; second++ {
		worst = max(worst, float64(c.starts[second])/float64(c.offers[second]))
	}
	return worst
}

func TestRetriesStayWithinBudget(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		failing string
		restart time.Duration
	}{
		"all fail":                {"0123456789", 0},
		"half fail":               {"01234", 0},
		"all fail, restart":       {"0123456789", 10 * time.Second},
		"half fail, restart":      {"01234", 10 * time.Second},
		"restart at the failure":  {"0123456789", 5 * time.Second},
		"one fails, then restart": {"3", 10 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := func(unlimited bool) float64 {
				p := wide(12, c.failing)
				p.entries, p.restart, p.settings.UnlimitedRetries = 9, c.restart, unlimited
				return worstLoad(newDrive(p).run()[0])
			}
			got := run(false)
			assert.Assert(t, got <= 1.2)
			if !slices.Contains([]string{"all fail", "half fail"}, name) {
				t.Logf("seed 12: worst second %.3f of the offered load", got)
				return
			}
			baseline := run(true)
			t.Logf("seed 12: worst second %.3f of the offered load, %.3f with unlimited retries", got, baseline)
			assert.Assert(t, baseline > 1.2)
		})
	}
}
