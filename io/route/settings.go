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

// Settings holds what an [Engine] works with.
type Settings struct {
	// Member is the entry itself.
	Member rock.Member
	// Fleet gives the configuration in force.
	Fleet rock.FleetSource
	// MayPlace reports whether the entry may place on the hosts of its zone; nil
	// means that it may. Once it may, it is not asked again.
	MayPlace func() bool
	// Target runs tasks on hosts.
	Target rock.Target
	// Peers are the other entries; nil means that there are none.
	Peers rock.PeerSet
	// Secret is the secret that all entries share; it authenticates
	// idempotency keys.
	Secret []byte
	// KeyLimits bounds the memory of idempotency keys.
	KeyLimits claim.Limits
	// HostList tells which hosts are leaving; nil means that only the
	// configuration does.
	HostList rock.HostList
	// Table keeps the claims of idempotency keys that callers chose; nil means
	// that such keys are refused.
	Table rock.Table
	// ObjectStore keeps the statement of the keys claimed here when the entry
	// stops; nil means that keys not yet sent are lost with it.
	ObjectStore rock.ObjectStore
	// Now returns the present time; nil means [time.Now].
	Now func() time.Time
	// Random is the source of choices; nil means a random seed.
	Random *rand.Rand
	// Log takes the engine's log; nil means the standard logger.
	Log logrus.FieldLogger
	// Scope takes the engine's metrics; nil means none.
	Scope tally.Scope
	// Group runs the engine's duties.
	Group *group.Group
	// Limits are the bounds.
	Limits Limits
}

// withDefaults returns s with the defaults in place of what is not set.
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
