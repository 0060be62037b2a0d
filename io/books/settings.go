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

// Settings holds the parts of [Books]. Table, Objects and Now are required.
type Settings struct {
	// Table is the platform's table.
	Table rock.Table
	// ObjectStore is the platform's object store.
	Objects rock.ObjectStore
	// Reviewer checks changes before they are committed; nil checks nothing.
	Reviewer rock.Reviewer
	// Peers are the other entries, asked while the platform is away; nil for
	// none.
	Peers rock.PeerSet
	// Now returns the present time.
	Now func() time.Time
	// Log is where messages go; nil drops them.
	Log logrus.FieldLogger
	// Scope takes the metrics force_delay, changes, revision, poll_failures and
	// lost_answers; nil drops them.
	Scope tally.Scope
	// BootstrapDigest is the digest of the token of the operator of the whole
	// system; "" for none.
	BootstrapDigest string
	// Codec is what the program knows of schema versions.
	Codec record.Codec
	// Seed seeds the jitter of polls.
	Seed uint64
	// Poll is the time between readings of head; 0 means 1 s.
	Poll time.Duration
	// MaxBackoff is the greatest time between readings while the platform is
	// away; 0 means 4 s.
	MaxBackoff time.Duration
	// CallTimeout bounds each call of the platform or a peer; 0 means 3 s.
	CallTimeout time.Duration
	// OutcomeTimeout bounds how long a lost answer is looked for; 0 means 5 s.
	OutcomeTimeout time.Duration
	// PeerGracePeriod is how long a new process without a configuration waits for the
	// word of more peers before it takes the highest; 0 means 3 s.
	PeerGracePeriod time.Duration
	// SnapshotEvery is the number of changes after which a new snapshot is
	// worth its while; 0 means 1000.
	SnapshotEvery int
}

// withDefaults returns s with the defaults in place of what is not set.
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

// orDefault returns a, or b if a is zero.
func orDefault[T comparable](a, b T) T {
	var zero T
	if a != zero {
		return a
	}
	return b
}
