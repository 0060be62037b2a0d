package books

import (
	"context"
	"fmt"
	"time"

	rock "bramleyrock"
)

// Follow polls the platform and puts newer configurations in force until ctx
// ends. It returns the error of ctx.
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
	books     *Books
	startedAt time.Time
	// failures is the number of failed polls since the last successful one.
	failures int
	// newestHints holds the newest hint of each peer, by the peer's name.
	newestHints map[string]hint
}

// poll reads newer changes from the platform, or from the peers if the platform
// does not respond. It returns the interval until the next poll.
func (f *follower) poll(ctx context.Context) time.Duration {
	b := f.books
	_, head, err := b.readHead(ctx)
	if err == nil {
		err = b.catchUp(ctx, head)
	}
	if err == nil {
		if f.failures > 0 {
			b.settings.Log.WithField("revision", b.Revision()).Info("The platform responds again.")
		}
		f.failures = 0
		f.dropOldHints()
		return b.settings.Poll
	}
	f.failures++
	b.settings.Scope.Counter("poll_failures").Inc(1)
	if f.failures == 1 {
		b.settings.Log.WithError(err).Warn("The configuration cannot be read from the platform; reading it from peers.")
	}
	f.askPeers(ctx)
	return f.backoff()
}

// backoff returns the interval until the next poll after failed ones. It doubles
// with each failure, up to [Settings.MaxBackoff].
func (f *follower) backoff() time.Duration {
	s := f.books.settings
	wait := s.Poll << min(f.failures-1, 8)
	return min(wait, s.MaxBackoff)
}

// waitForHints waits until the next poll. While the platform responds, it returns
// early if a hint arrives. While the platform is unavailable, it asks the peers on
// each hint and keeps waiting.
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
		// Hints must not shorten the backoff of polls of the platform.
		f.askPeers(ctx)
	}
}

// addHint records h unless a newer hint of the same peer is held.
func (f *follower) addHint(h hint) {
	name := h.peer.Member().Name()
	if old, ok := f.newestHints[name]; !ok || h.revision >= old.revision {
		f.newestHints[name] = h
	}
}

// dropOldHints drops hints that are not newer than the revision in force.
func (f *follower) dropOldHints() {
	for name, h := range f.newestHints {
		if h.revision <= f.books.Revision() {
			delete(f.newestHints, name)
		}
	}
}

// askPeers fetches the configuration of the peer with the greatest revision, if
// that is newer than the revision in force; if the fetch fails, it tries the next
// peer. A process without a configuration first waits for
// [Settings.PeerGracePeriod], so that it does not start with the configuration of
// a peer that lags behind.
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
		b.settings.Log.WithError(err).WithField("peer", h.peer.Member().Name()).Warn("The configuration cannot be fetched from the peer.")
	}
}

// addHeartbeatHints records the revisions in the peers' last heartbeats as hints.
func (f *follower) addHeartbeatHints(now time.Time) {
	if f.books.settings.Peers == nil {
		return
	}
	for _, v := range f.books.settings.Peers.Alive(now) {
		f.addHint(hint{revision: v.Heartbeat().Revision(), peer: v.Peer()})
	}
}

// newest returns the hint with the greatest revision. Of equal ones it returns
// that of the peer whose name sorts first.
func (f *follower) newest() hint {
	var newest hint
	for _, h := range f.newestHints {
		if newest.peer == nil || h.revision > newest.revision ||
			h.revision == newest.revision && h.peer.Member().Name() < newest.peer.Member().Name() {
			newest = h
		}
	}
	return newest
}

// fetchFromPeer fetches changes from the peer until the revision of the hint is in
// force. If the peer cannot provide the changes, it fetches a snapshot.
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

// peerChanges returns up to pageSize changes after the configuration in force, or
// none if no configuration is known.
func (b *Books) peerChanges(ctx context.Context, p rock.Peer, s *state) ([]rock.Change, error) {
	if !s.known {
		return nil, nil
	}
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	return p.Changes(ctx, s.config.Revision(), pageSize)
}

// fetchSnapshot fetches all of the peer's records and puts them in force if they
// are newer. It returns an error if their revision is less than that of the hint,
// for example because the peer restarted.
func (b *Books) fetchSnapshot(ctx context.Context, h hint) error {
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	revision, records, err := h.peer.Snapshot(ctx)
	if err != nil {
		return err
	}
	if revision < h.revision {
		return fmt.Errorf("the peer's snapshot is at revision %d, but it had reported revision %d", revision, h.revision)
	}
	config, err := b.feed.Build(revision, records)
	if err != nil {
		return err
	}
	b.putInForce(config, nil)
	return nil
}
