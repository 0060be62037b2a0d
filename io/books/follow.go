package books

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
)

// Follow keeps the newest configuration in force until ctx ends.
func (b *Books) Follow(ctx context.Context) error {
	f := follower{books: b, startedAt: b.settings.Now(), newestHints: map[string]hint{}}
	for ctx.Err() == nil {
		wait := f.poll(ctx)
		f.waitForHints(ctx, b.jitter(wait))
	}
	return ctx.Err()
}

// follower is the state of [Books.Follow].
type follower struct {
	books       *Books
	startedAt   time.Time
	failures    int
	newestHints map[string]hint
}

// poll asks the platform, and the peers if it is away. It returns the time to
// wait before the next round.
func (f *follower) poll(ctx context.Context) time.Duration {
	b := f.books
	_, head, err := b.readHead(ctx)
	if err == nil {
		err = b.catchUp(ctx, head)
	}
	if err == nil {
		if f.failures > 0 {
			b.settings.Log.WithField("revision", b.Revision()).Info("The platform answers again.")
		}
		f.failures = 0
		f.dropOldHints()
		return b.settings.Poll
	}
	f.failures++
	b.settings.Scope.Counter("poll_failures").Inc(1)
	if f.failures == 1 {
		b.settings.Log.WithError(err).Warn("The platform does not answer. Peers are asked instead.")
	}
	f.askPeers(ctx)
	return f.backoff()
}

// backoff returns the time between readings while the platform is away.
func (f *follower) backoff() time.Duration {
	s := f.books.settings
	wait := s.Poll << min(f.failures-1, 8)
	return min(wait, s.MaxBackoff)
}

// waitForHints waits for the time to pass, or for a hint that is worth a round.
func (f *follower) waitForHints(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		h, err := f.books.hints.Take(ctx)
		if err != nil {
			return
		}
		for ok := true; ok; h, ok = f.books.hints.Poll() {
			f.addHint(h)
		}
		if f.failures == 0 {
			return
		}
		// The platform is away: it is not asked more often for a hint.
		f.askPeers(ctx)
	}
}

// addHint notes a hint, the newest of each peer.
func (f *follower) addHint(h hint) {
	name := h.peer.Member().Name()
	if old, ok := f.newestHints[name]; !ok || h.revision >= old.revision {
		f.newestHints[name] = h
	}
}

// dropOldHints drops hints that are no longer newer than what is in force.
func (f *follower) dropOldHints() {
	for name, h := range f.newestHints {
		if h.revision <= f.books.Revision() {
			delete(f.newestHints, name)
		}
	}
}

// askPeers fetches from the peer with the newest configuration, if it is newer
// than the own one. A process that knows no configuration yet waits for the
// word of more peers first, so that it does not begin with one that lags.
func (f *follower) askPeers(ctx context.Context) {
	b := f.books
	now := b.settings.Now()
	f.addHeartbeatHints(now)
	known := b.state.Load().known
	if !known && now.Sub(f.startedAt) < b.settings.PeerGracePeriod {
		return
	}
	for len(f.newestHints) > 0 {
		h := f.newest()
		if known && h.revision <= b.Revision() {
			return
		}
		err := b.fetchFromPeer(ctx, h)
		if err == nil {
			return
		}
		delete(f.newestHints, h.peer.Member().Name())
		b.settings.Log.WithError(err).WithField("peer", h.peer.Member().Name()).Warn("A peer gave no configuration.")
	}
}

// addHeartbeatHints notes what the peers last said of themselves.
func (f *follower) addHeartbeatHints(now time.Time) {
	if f.books.settings.Peers == nil {
		return
	}
	for _, v := range f.books.settings.Peers.Alive(now) {
		f.addHint(hint{revision: v.Heartbeat().Revision(), peer: v.Peer()})
	}
}

// newest returns the hint with the greatest revision.
func (f *follower) newest() hint {
	var best hint
	for _, h := range f.newestHints {
		if best.peer == nil || h.revision > best.revision ||
			h.revision == best.revision && h.peer.Member().Name() < best.peer.Member().Name() {
			best = h
		}
	}
	return best
}

// fetchFromPeer puts the peer's configuration in force, if it is newer.
func (b *Books) fetchFromPeer(ctx context.Context, h hint) error {
	for {
		s := b.state.Load()
		if s.known && s.config.Revision() >= h.revision {
			return nil
		}
		changes, err := b.peerChanges(ctx, h.peer, s)
		if err != nil || len(changes) == 0 {
			return b.fetchSnapshot(ctx, h)
		}
		next, err := s.config.Apply(changes...)
		if err != nil {
			return b.fetchSnapshot(ctx, h)
		}
		b.putInForce(next, changes)
	}
}

// peerChanges returns the peer's changes after the configuration in force.
func (b *Books) peerChanges(ctx context.Context, p rock.Peer, s *state) ([]rock.Change, error) {
	if !s.known {
		return nil, nil
	}
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	return p.Changes(ctx, s.config.Revision(), pageSize)
}

// fetchSnapshot puts all of the peer's records in force, if they are newer. It
// fails if the peer no longer has the revision that it had told.
func (b *Books) fetchSnapshot(ctx context.Context, h hint) error {
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	revision, records, err := h.peer.Snapshot(ctx)
	if err != nil {
		return err
	}
	if revision < h.revision {
		return fmt.Errorf("peer has revision %d and no longer %d", revision, h.revision)
	}
	config, err := b.feed.Build(revision, records)
	if err != nil {
		return err
	}
	b.putInForce(config, nil)
	return nil
}
