package jobs

import (
	"time"

	"github.com/google/uuid"

	"bramleyrock/io/logs"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	rock "bramleyrock"
	"bramleyrock/core/job"
	"bramleyrock/core/lease"
)

// Settings are the settings of [Jobs]. A zero duration stands for its default.
type Settings struct {
	// Member is the entry's own identity.
	Member rock.Member
	// Table is the platform's table.
	Table rock.Table
	// Target runs tasks.
	Target rock.Target
	// Fleet returns the configuration in force.
	Fleet rock.FleetSource
	// Placer chooses hosts in the entry's availability zone. It must be safe
	// for concurrent use.
	Placer rock.Placer
	// Limits are the times and counts that decide what is done about a job.
	Limits job.Limits
	// Terms are the durations of a session's lease.
	Terms lease.Terms
	// Interval is the time between rounds; 1 s by default.
	Interval time.Duration
	// StatusInterval is the longest time between two status requests for a
	// task; 5 s by default. They are more frequent for a new task.
	StatusInterval time.Duration
	// ProgressInterval is the time between writes of the progress of all held
	// jobs; 10 s by default.
	ProgressInterval time.Duration
	// ReclaimInterval is the time between checks for other sessions that can be
	// taken over; 5 s by default.
	ReclaimInterval time.Duration
	// ZoneGrace is how long an expired session is left to the entries of its
	// own availability zone; 60 s by default.
	ZoneGrace time.Duration
	// SweepInterval is the time between deletions of old rows; 1 min by default.
	SweepInterval time.Duration
	// EndedRetention is how long ended jobs are retained; 24 h by default.
	EndedRetention time.Duration
	// CallTimeout bounds a call to the platform or a target; 2 s by default.
	CallTimeout time.Duration
	// MaxPayloadBytes is the greatest size of a payload or checkpoint; 256 KiB
	// by default.
	MaxPayloadBytes int64
	// MaxRun is the longest time limit of one run that a caller may request; 7
	// days by default.
	MaxRun time.Duration
	// NewID returns ids that sort by the time of their creation; UUIDs of
	// version 7 by default.
	NewID func() string
	// Now returns the current time; [time.Now] if nil.
	Now func() time.Time
	// Log receives the package's log messages; nil discards them.
	Log logrus.FieldLogger
	// Scope receives the package's metrics; nil discards them.
	Scope tally.Scope
}

func (s Settings) withDefaults() Settings {
	s.Limits = s.Limits.WithDefaults()
	orDefault(&s.Interval, time.Second)
	orDefault(&s.StatusInterval, 5*time.Second)
	orDefault(&s.ProgressInterval, 10*time.Second)
	orDefault(&s.ReclaimInterval, 5*time.Second)
	orDefault(&s.ZoneGrace, time.Minute)
	orDefault(&s.SweepInterval, time.Minute)
	orDefault(&s.EndedRetention, 24*time.Hour)
	orDefault(&s.CallTimeout, 2*time.Second)
	orDefault(&s.MaxRun, 7*24*time.Hour)
	if s.MaxPayloadBytes <= 0 {
		s.MaxPayloadBytes = 256 << 10
	}
	if s.NewID == nil {
		s.NewID = func() string { return uuid.Must(uuid.NewV7()).String() }
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
	s.Log = s.Log.WithField("part", "jobs")
	s.Scope = s.Scope.SubScope("jobs")
	return s
}

func orDefault(field *time.Duration, value time.Duration) {
	if *field <= 0 {
		*field = value
	}
}
