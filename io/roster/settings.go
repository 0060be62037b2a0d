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
	defaultGoneRetention = time.Hour
	defaultCallTimeout   = 2 * time.Second
)

// Settings are the settings of a [Roster].
type Settings struct {
	// Self is the entry's own identity.
	Self rock.Member
	// Table is the platform's table.
	Table rock.Table
	// Report returns the entry's present report; nil means an empty one.
	Report func() Report
	// OnStatuses, if not nil, is called with all status rows after each periodic
	// read.
	OnStatuses func(statuses []rock.EntryStatus)
	// OnFenced, if not nil, is called once when the entry's row was found to be
	// taken over by a newer incarnation, or marked as gone by another process.
	OnFenced func(by rock.EntryStatus)
	// ReadInterval is the time between reads of all rows; 8 s by default.
	ReadInterval time.Duration
	// CheckInterval is the time between checks whether the report has changed
	// and must be written; 250 ms by default.
	CheckInterval time.Duration
	// WriteInterval is the time after which an unchanged report is written
	// again, which renews the time in the row; 10 s by default.
	WriteInterval time.Duration
	// GoneRetention is how long the rows of stopped entries are retained; 1 h by
	// default.
	GoneRetention time.Duration
	// CallTimeout is the timeout of one operation on the table, which may be
	// several calls; 2 s by default.
	CallTimeout time.Duration
	// Now returns the present time; [time.Now] if nil.
	Now func() time.Time
	// Log receives log messages; nil means none.
	Log logrus.FieldLogger
	// Scope receives metrics; nil means none.
	Scope tally.Scope
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.ReadInterval, defaultReadInterval)
	setDefault(&s.CheckInterval, defaultCheckInterval)
	setDefault(&s.WriteInterval, defaultWriteInterval)
	setDefault(&s.GoneRetention, defaultGoneRetention)
	setDefault(&s.CallTimeout, defaultCallTimeout)
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

func setDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}
