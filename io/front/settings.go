package front

import (
	"time"

	rock "bramleyrock"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Settings holds what the caller door works with.
type Settings struct {
	// Runner runs the requests.
	Runner rock.Runner
	// Keys issues idempotency keys; nil means that there are none.
	Keys rock.KeyIssuer
	// Fleet gives the configuration in force.
	Fleet rock.FleetSource
	// Limits are the bounds.
	Limits Limits
	// Now returns the present time; nil means [time.Now].
	Now func() time.Time
	// NewID returns a new request id; nil means a random UUID.
	NewID func() string
	// Log takes the door's log; nil means the standard logger.
	Log logrus.FieldLogger
	// Scope takes the door's metrics; nil means none.
	Scope tally.Scope
}

// withDefaults returns s with the defaults in place of what is not set.
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
