package roster

import (
	"time"

	"bramleyrock/io/logs"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	rock "bramleyrock"
)

// The defaults of [Settings].
const (
	defaultReadInterval  = 8 * time.Second
	defaultCheckInterval = 250 * time.Millisecond
	defaultWriteInterval = 10 * time.Second
	defaultKeepGone      = time.Hour
	defaultCallTimeout   = 2 * time.Second
)

// Settings are the settings of a [Roster].
type Settings struct {
	// Self is the entry's own identity.
	Self rock.Member
	// Table is the platform's table.
	Table rock.Table
	// Report returns what the entry says of itself; nil for nothing.
	Report func() Report
	// OnStatuses, if not nil, is given all status rows after each reading.
	OnStatuses func(statuses []rock.EntryStatus)
	// OnFenced, if not nil, is told once that the entry's row was taken over by
	// a newer incarnation, or that the entry was declared gone.
	OnFenced func(by rock.EntryStatus)
	// ReadInterval is the time between readings of all rows; 8 s by default.
	ReadInterval time.Duration
	// CheckInterval is the time between looks at the report, which is written
	// if it changed; 250 ms by default.
	CheckInterval time.Duration
	// WriteInterval is the time after which an unchanged report is written
	// again; 10 s by default.
	WriteInterval time.Duration
	// GoneRetention is how long rows of stopped entries are kept; 1 h by default.
	GoneRetention time.Duration
	// CallTimeout bounds a call to the platform; 2 s by default.
	CallTimeout time.Duration
	// Now returns the present time; [time.Now] if nil.
	Now func() time.Time
	// Log is where the part writes its log; nil for none.
	Log logrus.FieldLogger
	// Scope takes the metrics; nil for none.
	Scope tally.Scope
}

func (s Settings) withDefaults() Settings {
	orDefault(&s.ReadInterval, defaultReadInterval)
	orDefault(&s.CheckInterval, defaultCheckInterval)
	orDefault(&s.WriteInterval, defaultWriteInterval)
	orDefault(&s.GoneRetention, defaultKeepGone)
	orDefault(&s.CallTimeout, defaultCallTimeout)
	if s.Report == nil {
		s.Report = func() Report { return Report{} }
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Log == nil {
		s.Log = logs.Discard()
	}
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	s.Log = s.Log.WithField("part", "roster")
	s.Scope = s.Scope.SubScope("roster")
	return s
}

func orDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}
