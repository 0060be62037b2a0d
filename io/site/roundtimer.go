package site

import (
	"time"

	"github.com/sirupsen/logrus"
)

// roundTimer measures the steps of a round over the hosts.
type roundTimer struct {
	now     func() time.Time
	started time.Time
	last    time.Time
	fields  logrus.Fields
}

// newRoundTimer returns a timer of a round that begins now.
func newRoundTimer(now func() time.Time) *roundTimer {
	t := &roundTimer{now: now, started: now(), fields: logrus.Fields{}}
	t.last = t.started
	return t
}

// record records that a step has ended.
func (t *roundTimer) record(step string) {
	now := t.now()
	t.fields[step+"_ms"] = now.Sub(t.last).Milliseconds()
	t.last = now
}

// log logs the durations of the steps if the round has taken longer than maxRoundTime.
func (t *roundTimer) log(log *logrus.Entry) {
	if took := t.last.Sub(t.started); took > maxRoundTime {
		log.WithFields(t.fields).WithField("took_ms", took.Milliseconds()).Info("Round over the hosts took long.")
	}
}
