package books

import (
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"

	"bramleyrock/io/logs"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

const (
	defaultPollInterval    = time.Second
	defaultMaxBackoff      = 4 * time.Second
	defaultCallTimeout     = 3 * time.Second
	defaultOutcomeTimeout  = 5 * time.Second
	defaultPeerGracePeriod = 3 * time.Second
	defaultSnapshotEvery   = 1000
)

// Settings configures [Books]. Table, Objects and Now are required.
type Settings struct {
	// Table is the platform's table.
	Table rock.Table
	// Objects is the platform's object store, which holds the snapshots.
	Objects rock.ObjectStore
	// Reviewer may reject changes before they are committed; nil rejects none.
	Reviewer rock.Reviewer
	// Peers are the other entries, which are asked while the platform is
	// unavailable; nil means no peers.
	Peers rock.PeerSet
	// Now returns the current time.
	Now func() time.Time
	// Log receives the log messages; nil discards them.
	Log logrus.FieldLogger
	// Scope receives the metrics force_delay, changes, revision, poll_failures
	// and lost_answers; nil discards them.
	Scope tally.Scope
	// BootstrapDigest is the digest of the token of the operator of the whole
	// system; "" means that there is no such operator.
	BootstrapDigest string
	// Codec decodes the schema versions that the program supports.
	Codec record.Codec
	// Seed seeds the random jitter of waits.
	Seed uint64
	// Poll is the interval between reads of the row head; 0 means 1 s.
	Poll time.Duration
	// MaxBackoff is the greatest interval between reads of the row head while
	// the platform is unavailable; 0 means 4 s.
	MaxBackoff time.Duration
	// CallTimeout bounds each call of the platform or a peer; 0 means 3 s.
	CallTimeout time.Duration
	// OutcomeTimeout bounds the search for the outcome of a commit whose response
	// was lost; 0 means 5 s.
	OutcomeTimeout time.Duration
	// PeerGracePeriod is how long a new process without a configuration collects
	// the revisions of its peers before it fetches the greatest; 0 means 3 s.
	PeerGracePeriod time.Duration
	// SnapshotEvery is the number of changes between two snapshots; 0 means
	// 1000.
	SnapshotEvery int
}

// withDefaults returns s with unset fields replaced by their defaults.
func (s Settings) withDefaults() Settings {
	if s.Log == nil {
		s.Log = logs.Discard()
	}
	s.Log = s.Log.WithField("part", "books")
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	s.Poll = orDefault(s.Poll, defaultPollInterval)
	s.MaxBackoff = orDefault(s.MaxBackoff, defaultMaxBackoff)
	s.CallTimeout = orDefault(s.CallTimeout, defaultCallTimeout)
	s.OutcomeTimeout = orDefault(s.OutcomeTimeout, defaultOutcomeTimeout)
	s.PeerGracePeriod = orDefault(s.PeerGracePeriod, defaultPeerGracePeriod)
	s.SnapshotEvery = orDefault(s.SnapshotEvery, defaultSnapshotEvery)
	return s
}

// orDefault returns value, or fallback if value is zero.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value != zero {
		return value
	}
	return fallback
}
