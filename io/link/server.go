package link

import (
	"context"
	"fmt"
	"net/http"
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
}

// waitInterval is the time between two looks at the calls in flight.
const waitInterval = 10 * time.Millisecond

// NewServer returns a server for the peer door.
func NewServer(s Settings) *Server {
	s = s.withDefaults()
	return &Server{settings: s, calls: group.New(context.Background()), ledgers: newLedgers(s.Limits)}
}

// Notify makes the server hand every heartbeat that it takes to the set, so
// that a peer that dials this entry is known to it. It must be called before
// the first connection.
func (s *Server) Notify(set *Set) { s.heard = set.hear }

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	newSession(s, ws, peer, link).run(s.calls.Context())
}

// Close closes all links that were accepted. Calls that were taken go on, but
// their answers are lost.
func (s *Server) Close() { s.calls.Stop() }

// Wait waits until every call that was taken has ended, or ctx has.
func (s *Server) Wait(ctx context.Context) error {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for s.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d calls in flight: %w", s.inFlight.Load(), ctx.Err())
		}
	}
	return nil
}

func (s *Server) greet(ctx context.Context, ws *websocket.Conn) (rock.Member, linkForm, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Limits.DialTimeout)
	defer cancel()
	ws.SetReadLimit(maxHandshakeBytes)
	return greetAsAcceptor(ctx, ws, s.settings.Self, s.settings.Secret)
}
