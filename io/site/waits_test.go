package site

import (
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/tenure"
	"bramleyrock/core/works"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// waitsFixture is the owner of a cell without workers, whose lines the test reads.
func waitsFixture(start time.Time) (*cellOwner, *logtest.Hook, tally.TestScope) {
	logger, hook := logtest.NewNullLogger()
	scope := tally.NewTestScope("", nil)
	s := &Site{meters: newMeters(scope)}
	o := &cellOwner{
		site: s, cell: "a", log: logrus.NewEntry(logger), state: cell.New(cell.Settings{Pool: "a"}),
		lease: tenure.NewLease(tenure.Record{Homes: []int{0}}, []tenure.AcquiredHome{{Home: 0, Version: 1, SentAt: start}}),
	}
	return o, hook, scope
}

// linesByJob counts the lines with a message by job.
func linesByJob(hook *logtest.Hook, message string) map[string]int {
	lines := map[string]int{}
	for _, e := range hook.AllEntries() {
		if e.Message == message {
			job, _ := e.Data["job"].(string)
			lines[job]++
		}
	}
	return lines
}

// TestWaitingTasksAreLogged guards against tasks that wait without a line, and against
// lines without bound. 12 jobs wait for 10 s, and the owner checks every 50 ms.
func TestWaitingTasksAreLogged(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	o, hook, scope := waitsFixture(start)
	for i := range 12 {
		o.state.AddJob(start, works.Job{ID: fmt.Sprint("j", i), Queue: "q", Spec: works.Spec{Steps: []works.Step{{Count: 3}}}}, 1)
	}
	perSecond := map[int64]int{}
	for d := time.Duration(0); d <= 10*time.Second; d += 50 * time.Millisecond {
		before := len(hook.AllEntries())
		o.logWaits(start.Add(d))
		perSecond[int64(d/time.Second)] += len(hook.AllEntries()) - before
	}
	for second, n := range perSecond {
		assert.Assert(t, n <= maxWaitingJobs, "%d lines in second %d", n, second)
	}
	assert.Equal(t, perSecond[0]+perSecond[1], 0)
	lines := linesByJob(hook, "Task waits.")
	assert.Equal(t, len(lines), 12)
	for job, n := range lines {
		assert.Assert(t, n <= 2, "%d lines about job %s", n, job)
	}
	first := hook.AllEntries()[0].Data
	assert.Equal(t, first["cause"], string(cell.WaitUsableWorker))
	assert.Equal(t, first["tasks"], 3)
	assert.Equal(t, first["left_out"], 12-maxWaitingJobs)
	assert.Equal(t, scope.Snapshot().Gauges()["tasks_waiting+cell=a"].Value(), 36.0)
}

// TestHeldJobsAreLogged guards against jobs that wait for unread parts without a line.
func TestHeldJobsAreLogged(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	cases := map[string]func(o *cellOwner){
		"a part is unread":   func(o *cellOwner) { o.unreadParts = map[string]uint64{"a#1": 1} },
		"a row is deferred":  func(o *cellOwner) { o.deferredRows = make([]rock.Row, 1) },
		"a row is not found": func(o *cellOwner) { o.pendingProgress = map[string]jobProgress{"j": {}} },
	}
	for name, arrange := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o, hook, _ := waitsFixture(start)
			arrange(o)
			for d := time.Duration(0); d < 10*time.Second; d += 50 * time.Millisecond {
				o.logWaits(start.Add(d))
			}
			assert.Equal(t, linesByJob(hook, "Jobs are held back.")[""], 2)
			hook.Reset()
			o.unreadParts, o.deferredRows, o.pendingProgress = nil, nil, nil
			o.logWaits(start.Add(20 * time.Second))
			assert.Equal(t, len(hook.AllEntries()), 0)
		})
	}
}

// TestStalledCellIsLogged guards against a cell that nobody takes without a line. One home
// of the cell is never read.
func TestStalledCellIsLogged(t *testing.T) {
	t.Parallel()
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var v cellView
	v.challenger.ObserveOwner(start, 0, tenure.Owner{Name: "other", Session: "1"}, 1)
	lines := 0
	for d := time.Duration(0); d < 12*time.Second; d += acquireInterval {
		now := start.Add(d)
		v.challenger.ObserveRead(now, 0)
		_, obstacle := v.challenger.Obstacle(now, tenure.Owner{Name: "me"}, start, 0)
		if idle, due := v.stalled(now, obstacle); due {
			lines++
			assert.Assert(t, idle >= maxOwnerless)
			assert.Equal(t, obstacle, tenure.ObstacleUnread)
		}
	}
	assert.Equal(t, lines, 2)
}
