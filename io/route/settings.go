package route

import (
	"math/rand/v2"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/claim"
	"bramleyrock/core/group"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Settings holds the dependencies and limits of an [Engine].
type Settings struct {
	// Member identifies this entry.
	Member rock.Member
	// Fleet provides the current configuration.
	Fleet rock.FleetSource
	// MayPlace reports whether the entry may place tasks on the hosts of its
	// zone; nil means always. It is not called again after it returned true.
	MayPlace func() bool
	// Target runs tasks on hosts.
	Target rock.Target
	// Peers are the other entries; nil means that there are none.
	Peers rock.PeerSet
	// Secret is the secret that all entries share; it authenticates
	// idempotency keys.
	Secret []byte
	// KeyLimits limits the registry of idempotency keys.
	KeyLimits claim.Limits
	// HostList lists the hosts that are leaving. If it is nil, only the
	// configuration closes hosts.
	HostList rock.HostList
	// Table stores the claims of idempotency keys that callers chose. If it is
	// nil, such keys are refused.
	Table rock.Table
	// ObjectStore stores the closing record of the keys claimed here when the
	// entry stops. If it is nil, requests with unused keys of this entry are
	// refused as may_have_run after it has stopped.
	ObjectStore rock.ObjectStore
	// Now returns the current time; nil means [time.Now].
	Now func() time.Time
	// Random is the source of randomness for placement; nil means a source with
	// a random seed.
	Random *rand.Rand
	// Log is the engine's logger; nil means the standard logger.
	Log logrus.FieldLogger
	// Scope receives the engine's metrics; nil means none.
	Scope tally.Scope
	// Group runs the engine's background tasks.
	Group *group.Group
	// Limits are the limits of the engine.
	Limits Limits
}

// withDefaults returns s with the defaults in place of unset fields.
func (s Settings) withDefaults() Settings {
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.MayPlace == nil {
		s.MayPlace = func() bool { return true }
	}
	if s.Random == nil {
		s.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if s.Log == nil {
		s.Log = logrus.StandardLogger()
	}
	s.Log = s.Log.WithField("part", "route")
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	s.Limits = s.Limits.withDefaults()
	return s
}
