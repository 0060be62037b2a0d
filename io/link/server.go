package link

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	rock "bramleyrock"
	"bramleyrock/core/group"
)

// Server answers the calls of peers. It is an [http.Handler] that upgrades
// every request to a WebSocket connection.
type Server struct {
	settings Settings
	heard    func(rock.Heartbeat)
	calls    *group.Group
	inFlight atomic.Int64
	ledgers  *ledgers
	ending   atomic.Bool

	mu       sync.Mutex
	sessions map[*session]bool
}

// waitInterval is the time between two looks at the calls in flight.
const waitInterval = 10 * time.Millisecond

// NewServer returns a server for the peer door.
func NewServer(s Settings) *Server {
	s = s.withDefaults()
	return &Server{settings: s, calls: group.New(context.Background()), ledgers: newLedgers(s.Limits), sessions: map[*session]bool{}}
}

// Notify makes the server hand every heartbeat that it takes to the set, so
// that a peer that dials this entry is known to it. It must be called before
// the first connection.
func (s *Server) Notify(set *Set) { s.heard = set.hear }

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.ending.Load() {
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
	if err != nil {
		s.settings.Log.WithError(err).Debug("connection refused")
		return
	}
	defer func() { _ = ws.CloseNow() }()
	if ws.Subprotocol() != subprotocol {
		_ = ws.Close(websocket.StatusPolicyViolation, "want subprotocol "+subprotocol)
		return
	}
	peer, link, err := s.greet(r.Context(), ws)
	if err != nil {
		s.settings.Log.WithError(err).WithField("remote", r.RemoteAddr).Warn("peer not accepted")
		s.settings.Scope.Counter("refused").Inc(1)
		_ = ws.Close(websocket.StatusPolicyViolation, "not accepted")
		return
	}
	ws.SetReadLimit(int64(s.settings.Limits.MessageBytes))
	e := newSession(s, ws, peer, link)
	if !s.add(e) {
		_ = ws.Close(websocket.StatusGoingAway, "shutting down")
		return
	}
	defer s.remove(e)
	e.run(s.calls.Context())
}

// Close closes all links that were accepted. Calls that were taken go on, but
// their answers are lost.
func (s *Server) Close() { s.calls.Stop() }

// Shutdown takes no more connections, asks all dialers to send no more calls,
// and waits until every call that was taken is answered, or ctx ends. Then it
// closes all links. The caller has to see to it that calls which are still on
// the way are refused.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.Close()
	s.ending.Store(true)
	s.eachSession((*session).sayGoodbye)
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for s.busy() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d calls in flight: %w", s.inFlight.Load(), ctx.Err())
		}
	}
	return nil
}

// busy reports whether a call or a connection is left.
func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions) > 0 || s.inFlight.Load() > 0
}

func (s *Server) eachSession(do func(*session)) {
	s.mu.Lock()
	all := slices.Collect(maps.Keys(s.sessions))
	s.mu.Unlock()
	for _, e := range all {
		do(e)
	}
}

// add notes a session, unless the server is shutting down.
func (s *Server) add(e *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending.Load() {
		return false
	}
	s.sessions[e] = true
	return true
}

func (s *Server) remove(e *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, e)
}

func (s *Server) greet(ctx context.Context, ws *websocket.Conn) (rock.Member, linkForm, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Limits.DialTimeout)
	defer cancel()
	ws.SetReadLimit(maxHandshakeBytes)
	return greetAsAcceptor(ctx, ws, s.settings.Self, s.settings.Secret)
}
