package cell

import "time"

// reportDates finds out when a worker made its reports. A report may be handled long after
// that if this process was paused or the answer was delayed.
//
// The difference between this process's clock when a report is handled and the worker's
// clock in the report is smallest for the report that was handled soonest. Only the
// reports of a short time are compared, because the clocks run at different rates.
type reportDates struct {
	// offset is the least difference since the worker's clock showed since, and
	// formerOffset that of the period before.
	offset       time.Duration
	formerOffset time.Duration
	since        time.Duration
	origin       time.Time
}

// datePeriod is for how long, on the worker's clock, reports are compared. A clock that is
// 2 % slow is off by 0.1 s by the end of it.
const datePeriod = 5 * time.Second

// date returns when a report was made that was requested at sent, is handled now, and
// shows the given time of the worker's clock. The first report of an incarnation counts as
// made when it was requested, since there is nothing to compare it with.
func (d *reportDates) date(now, sent time.Time, clock time.Duration) time.Time {
	if d.origin.IsZero() {
		d.origin, d.since = now, clock
		d.offset, d.formerOffset = -clock, -clock
		return sent
	}
	offset := now.Sub(d.origin) - clock
	if clock-d.since >= datePeriod {
		d.formerOffset, d.offset, d.since = d.offset, offset, clock
	}
	d.offset = min(d.offset, offset)
	made := d.origin.Add(clock + min(d.offset, d.formerOffset))
	if made.Before(sent) {
		return sent
	}
	return made
}
