package front

import (
	"time"

	rock "bramleyrock"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Settings holds the dependencies and limits of the API for callers.
type Settings struct {
	// Runner runs the requests on targets.
	Runner rock.Runner
	// Keys issues idempotency keys; if it is nil, requests for keys are refused.
	Keys rock.KeyIssuer
	// Fleet provides the current configuration, which identifies callers.
	Fleet rock.FleetSource
	// Limits are the limits of the API.
	Limits Limits
	// Now returns the current time; nil means [time.Now].
	Now func() time.Time
	// NewID returns a new request id; nil means a random UUID.
	NewID func() string
	// Log is the logger; nil means the standard logger.
	Log logrus.FieldLogger
	// Scope receives the metrics; nil means none.
	Scope tally.Scope
}

// withDefaults returns s with the defaults in place of unset fields.
func (s Settings) withDefaults() Settings {
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.NewID == nil {
		s.NewID = uuid.NewString
	}
	if s.Log == nil {
		s.Log = logrus.StandardLogger()
	}
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	s.Limits = s.Limits.withDefaults()
	return s
}
