package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coder/websocket"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/peers"
)

// Set is the links to all other entries that are known. It implements
// [rock.PeerSet].
type Set struct {
	settings Settings
	wake     chan struct{}

	mu      sync.Mutex
	view    *peers.View
	links   map[string]*peer
	pending []*peer
	source  *rand.Rand
}

// NewSet returns a set that knows the seeds. [Set.Run] opens its links.
func NewSet(s Settings) *Set {
	s = s.withDefaults()
	set := &Set{
		settings: s,
		wake:     make(chan struct{}, 1),
		view:     peers.NewView(s.Self, peers.Limits{}),
		links:    map[string]*peer{},
		source:   rand.New(rand.NewPCG(s.Seed, s.Seed)),
	}
	for _, address := range s.Seeds {
		set.add(address)
	}
	return set
}

// Alive implements [rock.PeerSet]. A peer that is heard but cannot be called,
// since the network lets only its own connections through, is not among them.
func (s *Set) Alive(now time.Time) []rock.PeerView {
	s.mu.Lock()
	defer s.mu.Unlock()
	var views []rock.PeerView
	for _, sighting := range s.view.Alive(now) {
		if p := s.peerOf(sighting.Member()); p != nil && p.linked() {
			views = append(views, viewOf(p, sighting))
		}
	}
	return views
}

// Find implements [rock.PeerSet].
func (s *Set) Find(name string) (rock.PeerView, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sighting, ok := s.view.Find(name)
	if !ok {
		return rock.PeerView{}, false
	}
	p := s.peerOf(sighting.Member())
	if p == nil {
		return rock.PeerView{}, false
	}
	return viewOf(p, sighting), true
}

// State returns what is believed of the named peer, and whether it is known.
func (s *Set) State(now time.Time, name string) (peers.State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view.State(now, name)
}

// Learn takes the status rows of all entries: it opens links to entries that
// are new and closes those to entries that are gone.
func (s *Set) Learn(statuses []rock.EntryStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view.RecordStatuses(statuses)
	s.refresh()
}

// Tell sends a heartbeat to every peer at once, for news that should not wait:
// a newer revision in force, or a planned stop.
func (s *Set) Tell() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.links {
		if c, err := p.open(opBeat); err == nil {
			c.beatSoon()
		}
	}
}

// Status returns what is known of each peer, in order of name.
func (s *Set) Status(now time.Time) []PeerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []PeerStatus
	for _, sighting := range s.view.All() {
		state, _ := s.view.State(now, sighting.Member().Name())
		p := s.peerOf(sighting.Member())
		all = append(all, statusOf(sighting, state, p != nil && p.linked()))
	}
	return all
}

// Run keeps the links open until ctx ends.
func (s *Set) Run(ctx context.Context) error {
	g := group.New(ctx)
	for {
		for _, p := range s.takePending() {
			ctx := s.stoppable(g.Context(), p)
			g.Go("link "+p.address, func(context.Context) error { return s.keep(ctx, p) })
		}
		select {
		case <-s.wake:
		case <-g.Context().Done():
			return g.Wait()
		}
	}
}

// stoppable returns a context that ends when the link is dropped.
func (s *Set) stoppable(ctx context.Context, p *peer) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.stop = cancel
	return ctx
}

// hear takes a heartbeat that a peer sent over a link of its own.
func (s *Set) hear(h rock.Heartbeat) {
	now := s.settings.Now()
	s.mu.Lock()
	taken := s.view.RecordHeartbeat(now, h, 0)
	if taken {
		s.refresh()
	}
	s.mu.Unlock()
	if taken {
		s.tellRevision(h)
	}
}

func (s *Set) tellRevision(h rock.Heartbeat) {
	if s.settings.OnRevision == nil {
		return
	}
	if v, ok := s.Find(h.Member().Name()); ok {
		s.settings.OnRevision(h.Revision(), v.Peer())
	}
}

// refresh adds links to members that have none and drops those to no member.
func (s *Set) refresh() {
	wanted := map[string]bool{}
	for _, address := range s.settings.Seeds {
		wanted[address] = true
	}
	for _, m := range s.view.Members() {
		wanted[m.Address()] = true
		s.add(m.Address())
	}
	for address, p := range s.links {
		if !wanted[address] && p.stop != nil {
			p.stop()
			delete(s.links, address)
		}
	}
}

func (s *Set) add(address string) {
	if address == "" || address == s.settings.Self.Address() || s.links[address] != nil {
		return
	}
	p := newPeer(address)
	s.links[address] = p
	s.pending = append(s.pending, p)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Set) takePending() []*peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.pending
	s.pending = nil
	return pending
}

// peerOf returns the link to a member: by its address, or by name if its
// address is not the one that was dialled.
func (s *Set) peerOf(m rock.Member) *peer {
	if p, ok := s.links[m.Address()]; ok {
		return p
	}
	for _, p := range s.links {
		if p.Member().Name() == m.Name() {
			return p
		}
	}
	return nil
}

// keep dials the peer again whenever its link breaks.
func (s *Set) keep(ctx context.Context, p *peer) error {
	log := s.settings.Log.WithField("address", p.address)
	wait := s.settings.Limits.RedialMin
	for ctx.Err() == nil {
		c, err := s.dial(ctx, p)
		if err != nil {
			log.WithError(err).Debug("dial failed")
			s.settings.Scope.Counter("dial_failed").Inc(1)
			if err := s.pause(ctx, wait); err != nil {
				return nil
			}
			wait = min(2*wait, s.settings.Limits.RedialMax)
			continue
		}
		wait = s.settings.Limits.RedialMin
		if c.peer.Name() == s.settings.Self.Name() {
			log.Debug("address is the own one")
			c.close()
			return nil
		}
		log.WithField("peer", c.peer.Name()).Info("link opened")
		p.connect(c)
		err = c.run(ctx, s.beat)
		p.connect(nil)
		log.WithField("peer", c.peer.Name()).WithError(err).Info("link closed")
		s.settings.Scope.Counter("closed").Inc(1)
	}
	return nil
}

func (s *Set) dial(ctx context.Context, p *peer) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Limits.DialTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+p.address+"/", &websocket.DialOptions{Subprotocols: []string{subprotocol}})
	if err != nil {
		return nil, err
	}
	ws.SetReadLimit(maxHandshakeBytes)
	member, err := greetAsDialer(ctx, ws, s.settings.Self, s.settings.Secret, linkForm{Name: p.address, LastID: p.ids.Load()})
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	ws.SetReadLimit(int64(s.settings.Limits.MessageBytes))
	return newConn(ws, member, s.settings.Limits, &p.ids), nil
}

// pause waits for a random time between half of d and d.
func (s *Set) pause(ctx context.Context, d time.Duration) error {
	s.mu.Lock()
	d = d/2 + time.Duration(s.source.Int64N(int64(d/2)+1))
	s.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beat exchanges heartbeats over the link.
func (s *Set) beat(ctx context.Context, c *conn) error {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Limits.BeatTimeout)
	defer cancel()
	sent := s.settings.Now()
	h, err := c.beat(ctx, s.settings.Beat(sent))
	if err != nil {
		return err
	}
	now := s.settings.Now()
	s.mu.Lock()
	taken := s.view.RecordHeartbeat(now, h, now.Sub(sent))
	if taken {
		s.refresh()
	}
	s.mu.Unlock()
	if taken {
		s.tellRevision(h)
	}
	return nil
}

func viewOf(p *peer, s peers.Info) rock.PeerView {
	return rock.NewPeerView(p, s.Heartbeat(), s.HeardAt(), s.RoundTrip())
}
