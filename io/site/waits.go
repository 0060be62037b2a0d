package site

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bramleyrock/core/cell"

	"github.com/sirupsen/logrus"
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
	// maxNamed bounds the jobs, parts and workers that a line names.
	maxNamed = 5
)

// waitLog bounds the lines about waiting tasks. The zero value is ready to use.
type waitLog struct {
	checkedAt time.Time
	// loggedAt holds when each job was last logged.
	loggedAt map[string]time.Time
	// goneLoggedAt and heldLoggedAt are when the lines about gone workers and about jobs
	// that are held back were last logged, and heldSince is since when there are such jobs.
	goneLoggedAt time.Time
	heldLoggedAt time.Time
	heldSince    time.Time
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
	o.site.meters.waitingTasks(o.cell).Update(float64(report.Tasks))
	o.logGoneWorkers(now, report.GoneWithRuns)
	o.logHeldJobs(now)
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

// logGoneWorkers logs the workers that are believed to be gone and still have runs.
func (o *cellOwner) logGoneWorkers(now time.Time, ids []string) {
	if len(ids) == 0 || now.Sub(o.waits.goneLoggedAt) < waitLogInterval {
		return
	}
	o.waits.goneLoggedAt = now
	o.log.WithFields(logrus.Fields{"fence": o.fence, "workers": firstNames(ids), "count": len(ids)}).Warn("Workers that are gone have runs.")
}

// logHeldJobs logs the jobs that the cell does not know yet because parts of the table
// are not read.
func (o *cellOwner) logHeldJobs(now time.Time) {
	if len(o.deferredRows)+len(o.pendingProgress)+len(o.unreadParts) == 0 {
		o.waits.heldSince = time.Time{}
		return
	}
	if o.waits.heldSince.IsZero() {
		o.waits.heldSince = now
	}
	if now.Sub(o.waits.heldSince) < longWait || now.Sub(o.waits.heldLoggedAt) < waitLogInterval {
		return
	}
	o.waits.heldLoggedAt = now
	deferred, unknown := map[string]bool{}, map[string]bool{}
	for _, r := range o.deferredRows {
		_, name := splitKey(r.Key())
		id, _ := splitJobName(name)
		deferred[id] = true
	}
	for id := range o.pendingProgress {
		unknown[id] = true
	}
	o.log.WithFields(logrus.Fields{
		"fence": o.fence, "held_ms": now.Sub(o.waits.heldSince).Milliseconds(),
		"unread": len(o.unreadParts), "parts": firstNames(slices.Sorted(maps.Keys(o.unreadParts))),
		"deferred": len(deferred), "deferred_jobs": firstNames(slices.Sorted(maps.Keys(deferred))),
		"rows_missing": len(unknown), "rows_missing_jobs": firstNames(slices.Sorted(maps.Keys(unknown))),
	}).Info("Jobs are held back.")
}

// firstNames returns the first names of a list, separated by spaces.
func firstNames(list []string) string { return strings.Join(list[:min(len(list), maxNamed)], " ") }

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
