package site

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// meters holds the counters and histograms of the entry.
type meters struct {
	submitted  tally.Counter
	refused    tally.Counter
	unsettled  tally.Counter
	submitTime tally.Histogram
	started    tally.Counter
	notStarted tally.Counter
	stopped    tally.Counter
	startTime  tally.Histogram
	commits    tally.Counter
	conflicts  tally.Counter
	commitTime tally.Histogram
	taken      tally.Counter
	lost       tally.Counter
	// badWorkers counts the registrations of workers that could not be read.
	badWorkers tally.Counter
	// waitingTasks returns the gauge of the tasks of a cell that have waited for long.
	waitingTasks func(cell string) tally.Gauge
}

// latencies are the bucket bounds of the latency histograms. They range from a call
// within a zone to the longest timeout.
var latencies = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second,
}

// newMeters registers the metrics in a scope.
func newMeters(s tally.Scope) meters {
	return meters{
		submitted:  s.Counter("jobs_submitted"),
		refused:    s.Counter("jobs_refused"),
		unsettled:  s.Counter("jobs_unsettled"),
		submitTime: s.Histogram("submit_latency", latencies),
		started:    s.Counter("tasks_started"),
		notStarted: s.Counter("starts_refused"),
		stopped:    s.Counter("tasks_stopped"),
		startTime:  s.Histogram("start_latency", latencies),
		commits:    s.Counter("commits"),
		conflicts:  s.Counter("commit_conflicts"),
		commitTime: s.Histogram("commit_latency", latencies),
		taken:      s.Counter("cells_taken"),
		lost:       s.Counter("cells_lost"),
		badWorkers: s.Counter("registrations_rejected"),
		waitingTasks: func(cell string) tally.Gauge {
			return s.Tagged(map[string]string{"cell": cell}).Gauge("tasks_waiting")
		},
	}
}
