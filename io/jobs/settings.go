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
	// Fleet gives the configuration in force.
	Fleet rock.FleetSource
	// Placer chooses hosts of the own availability zone. It must be safe for
	// concurrent use.
	Placer rock.Placer
	// Limits are the bounds by which jobs are judged.
	Limits job.Limits
	// Terms are the durations of a session's lease.
	Terms lease.Terms
	// Interval is the time between rounds; 1 s by default.
	Interval time.Duration
	// StatusInterval is the longest time between two looks at a task; 5 s by
	// default. A young task is looked at more often.
	StatusInterval time.Duration
	// ProgressInterval is the time between writes of the progress of all held
	// jobs; 10 s by default.
	ProgressInterval time.Duration
	// ReclaimInterval is the time between looks at other sessions; 5 s by
	// default.
	ReclaimInterval time.Duration
	// ZoneGrace is for how long a lapsed session is left to the entries of its
	// own availability zone; 60 s by default.
	ZoneGrace time.Duration
	// SweepInterval is the time between removals of old rows; 1 min by default.
	SweepInterval time.Duration
	// EndedRetention is how long ended jobs are kept; 24 h by default.
	EndedRetention time.Duration
	// CallTimeout bounds a call to the platform or a target; 2 s by default.
	CallTimeout time.Duration
	// MaxPayloadBytes is the greatest size of a payload; 256 KiB by default.
	MaxPayloadBytes int64
	// MaxRun is the greatest bound of one run that a caller may state; 7 days
	// by default.
	MaxRun time.Duration
	// NewID returns ids that grow with time; UUIDs of version 7 by default.
	NewID func() string
	// Now returns the present time; [time.Now] if nil.
	Now func() time.Time
	// Log is where the part writes its log; nil for none.
	Log logrus.FieldLogger
	// Scope takes the metrics; nil for none.
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
