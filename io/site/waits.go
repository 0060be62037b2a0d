package site

import (
	"fmt"
	"strings"
	"time"

	"bramleyrock/core/cell"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	// waitCheckInterval is the time between checks for waiting tasks. A check looks at
	// every task of the cell.
	waitCheckInterval = time.Second
	// longWait is how long a task may wait without being logged. It is longer than a
	// takeover.
	longWait = 2 * time.Second
	// waitLogInterval is the least time between lines about the same job.
	waitLogInterval = 5 * time.Second
	// maxWaitingJobs bounds the jobs that a check logs.
	maxWaitingJobs = 5
)

// waitLog bounds the lines about waiting tasks. The zero value is ready to use.
type waitLog struct {
	checkedAt time.Time
	// loggedAt holds when each job was last logged.
	loggedAt map[string]time.Time
	gauge    tally.Gauge
}

// due reports whether a check is due, and if so begins it.
func (l *waitLog) due(now time.Time) bool {
	if now.Sub(l.checkedAt) < waitCheckInterval {
		return false
	}
	l.checkedAt = now
	for id, at := range l.loggedAt {
		if now.Sub(at) >= waitLogInterval {
			delete(l.loggedAt, id)
		}
	}
	return true
}

// logged reports whether the job was logged recently.
func (l *waitLog) logged(job string) bool {
	_, ok := l.loggedAt[job]
	return ok
}

// record records that the job is logged.
func (l *waitLog) record(now time.Time, job string) {
	if l.loggedAt == nil {
		l.loggedAt = map[string]time.Time{}
	}
	l.loggedAt[job] = now
}

// logWaits logs the tasks that could run and have waited for long.
func (o *cellOwner) logWaits(now time.Time) {
	if !o.waits.due(now) {
		return
	}
	report := o.state.Waiting(now, cell.WaitQuery{Longer: longWait, MaxJobs: maxWaitingJobs, Skip: o.waits.logged})
	if o.waits.gauge == nil {
		o.waits.gauge = o.site.meters.waitingTasks(o.cell)
	}
	o.waits.gauge.Update(float64(report.Tasks))
	for i := range report.Waiting {
		w := &report.Waiting[i]
		o.waits.record(now, w.Job)
		o.log.WithFields(waitFields(now, w)).WithFields(logrus.Fields{
			"fence": o.fence, "lease_valid": now.Before(o.lease.ValidUntil()),
			"free_cores": milliCores(report.Free.MilliCores), "all_cores": milliCores(report.Capacity.MilliCores),
			"jobs": report.Jobs, "left_out": report.LeftOut,
		}).Info("Task waits.")
	}
}

// milliCores returns thousandths of a core in cores.
func milliCores(n int64) float64 { return float64(n) / 1000 }

// waitFields returns the fields of the line about waiting tasks.
func waitFields(now time.Time, w *cell.Waiting) logrus.Fields {
	f := logrus.Fields{"job": w.Job, "tasks": w.Tasks, "cause": string(w.Cause), "waited_ms": now.Sub(w.Since).Milliseconds()}
	if w.Task != "" {
		f["task"], f["last_run"], f["failures"] = w.Task, w.LastRun, w.FailedRuns
		f["need_cores"], f["need_mb"] = milliCores(w.Need.MilliCores), w.Need.MemoryMB
	}
	if len(w.Excluded) > 0 {
		f["excluded"] = formatExcluded(w.Excluded)
	}
	if r := w.Run; r != nil {
		f["run"], f["state"], f["worker"], f["in_flight"] = r.Number, r.State, r.Worker, r.InFlight
		f["registered"], f["fenced"], f["gone"], f["unresponsive"] = r.Registered, r.AcceptedFence, r.Gone, r.Unresponsive
		for name, at := range map[string]time.Time{"confirmed_ms": r.ConfirmedAt, "ordered_ms": r.OrderedAt, "answered_ms": r.WorkerAnsweredAt} {
			if !at.IsZero() {
				f[name] = now.Sub(at).Milliseconds()
			}
		}
		for name, value := range map[string]string{"reason": r.StopReason, "excluded": string(r.WorkerExclusion)} {
			if value != "" {
				f[name] = value
			}
		}
	}
	return f
}

// formatExcluded lists the excluded workers, such as "gone 2 (w1 w2), label 1 (w3)".
func formatExcluded(list []cell.ExcludedWorkers) string {
	parts := make([]string, len(list))
	for i, x := range list {
		parts[i] = fmt.Sprintf("%s %d (%s)", x.Reason, x.Count, strings.Join(x.Workers, " "))
	}
	return strings.Join(parts, ", ")
}
