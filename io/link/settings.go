package link

import (
	"time"

	"bramleyrock/io/logs"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	rock "bramleyrock"
)

// Settings are the settings of a [Server] and of a [Set].
type Settings struct {
	// Self is the entry's own identity.
	Self rock.Member
	// Secret is shared by all entries.
	Secret string
	// Seeds are the addresses of peers known before any status row is read.
	Seeds []string
	// Server answers the calls of peers; only a [Server] needs it.
	Server rock.PeerServer
	// Beat returns the entry's own heartbeat; only a [Set] needs it.
	Beat func(now time.Time) rock.Heartbeat
	// OnRevision, if not nil, is told of a revision heard from a peer. It must
	// not block.
	OnRevision func(revision rock.Revision, peer rock.Peer)
	// Limits bounds the links.
	Limits Limits
	// Now returns the present time; [time.Now] if nil.
	Now func() time.Time
	// Seed is the seed of the jitter of redials.
	Seed uint64
	// Log is where the part writes its log; nil for none.
	Log logrus.FieldLogger
	// Scope takes the metrics; nil for none.
	Scope tally.Scope
}

func (s Settings) withDefaults() Settings {
	s.Limits = s.Limits.withDefaults()
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Log == nil {
		s.Log = logs.Discard()
	}
	if s.Scope == nil {
		s.Scope = tally.NoopScope
	}
	s.Log = s.Log.WithField("part", "link")
	s.Scope = s.Scope.SubScope("link")
	return s
}
