package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"bramleyrock/core/group"
)

// dialTimeout bounds the time to connect to the target.
const dialTimeout = 2 * time.Second

// unlimited is the number of bytes left in a direction without a limit.
const unlimited = -1

// Relay is a link between a loopback address and a target. It is safe for
// concurrent use.
type Relay struct {
	target   string
	listener *net.TCPListener
	duties   *group.Group

	mu      sync.Mutex
	modes   map[Direction]Mode
	limits  map[Direction]int
	refuse  bool
	links   map[*link]bool
	taken   int
	changed chan struct{}
}

// New returns a relay to the target's address, listening on a free port of
// 127.0.0.1.
func New(target string) (*Relay, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("relay to %s: %w", target, err)
	}
	r := &Relay{
		target:   target,
		listener: l,
		duties:   group.New(context.Background()),
		modes:    map[Direction]Mode{Calls: Pass, Answers: Pass},
		limits:   map[Direction]int{Calls: unlimited, Answers: unlimited},
		links:    map[*link]bool{},
		changed:  make(chan struct{}),
	}
	r.duties.Go("accept", r.accept)
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Taken returns the number of connections that the relay has taken.
func (r *Relay) Taken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken
}

// Set sets the mode of a direction.
func (r *Relay) Set(d Direction, m Mode) {
	r.change(func() { r.modes[d] = m })
}

// Refuse breaks new connections at once, or takes them again.
func (r *Relay) Refuse(refuse bool) {
	r.change(func() { r.refuse = refuse })
}

// CutAfter breaks each new connection once it has handed on n bytes in the
// direction; a negative n takes the limit away.
func (r *Relay) CutAfter(d Direction, n int) {
	r.change(func() { r.limits[d] = n })
}

// Silence makes the connections that are open now silent for good, in both
// directions, without closing them.
func (r *Relay) Silence() {
	r.change(func() {
		for l := range r.links {
			l.silent = true
		}
	})
}

// Cut breaks the connections that are open now.
func (r *Relay) Cut() {
	r.change(func() {
		for l := range r.links {
			l.close()
		}
	})
}

// Close ends the relay and breaks all connections.
func (r *Relay) Close() {
	// The duties return no errors, and a closed listener is no matter.
	_ = r.listener.Close()
	r.duties.Stop()
	r.Cut()
	_ = r.duties.Wait()
}

// change makes a change and wakes those that wait for one.
func (r *Relay) change(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	close(r.changed)
	r.changed = make(chan struct{})
}

// accept takes connections until the listener is closed.
func (r *Relay) accept(ctx context.Context) error {
	for {
		c, err := r.listener.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err == nil {
			r.duties.Go("join", func(context.Context) error { return r.join(ctx, c) })
		}
	}
}

// join joins a connection to the target and hands bytes on in both directions.
func (r *Relay) join(ctx context.Context, client *net.TCPConn) error {
	l := &link{relay: r, ends: map[Direction]*net.TCPConn{Calls: client}}
	defer l.close()
	if !r.add(l) {
		return nil
	}
	defer r.remove(l)
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		return nil
	}
	server := c.(*net.TCPConn)
	r.change(func() { l.ends[Answers] = server })
	pumps := group.New(ctx)
	pumps.Go("calls", func(ctx context.Context) error { return l.pump(ctx, Calls, client, server) })
	pumps.Go("answers", func(ctx context.Context) error { return l.pump(ctx, Answers, server, client) })
	return pumps.Wait()
}

// add takes a new link in, unless the relay refuses it.
func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refuse || r.duties.Context().Err() != nil {
		return false
	}
	r.taken++
	l.left = map[Direction]int{Calls: r.limits[Calls], Answers: r.limits[Answers]}
	r.links[l] = true
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// await waits while the link is stalled or silent, and returns the mode.
func (r *Relay) await(ctx context.Context, l *link, d Direction) Mode {
	for {
		r.mu.Lock()
		mode, silent, changed := r.modes[d], l.silent, r.changed
		r.mu.Unlock()
		if !silent && mode != Stall {
			return mode
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Drop
		}
	}
}

// take returns what may still be handed on of a piece, and whether it is the
// last that is.
func (r *Relay) take(l *link, d Direction, piece []byte) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := l.left[d]
	if left < 0 {
		return piece, false
	}
	n := min(left, len(piece))
	l.left[d] = left - n
	return piece[:n], l.left[d] == 0
}
