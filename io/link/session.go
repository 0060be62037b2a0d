package link

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coder/websocket"

	rock "bramleyrock"
)

// session is the accepting end of one link.
type session struct {
	server *Server
	ws     *websocket.Conn
	peer   rock.Member

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

func newSession(s *Server, ws *websocket.Conn, peer rock.Member) *session {
	return &session{server: s, ws: ws, peer: peer, cancels: map[uint64]context.CancelFunc{}}
}

// run reads calls until the link breaks or falls silent. Calls that were taken
// go on: their effects may be wanted though the answer is lost.
func (s *session) run(ctx context.Context) {
	log := s.server.settings.Log.WithField("peer", s.peer.Name())
	log.Debug("link accepted")
	for {
		f, err := s.read(ctx)
		if err != nil {
			log.WithError(err).Debug("accepted link ended")
			return
		}
		switch f.Kind {
		case frameCall:
			s.take(f)
		case frameCancel:
			s.cancel(f.ID)
		}
	}
}

func (s *session) read(ctx context.Context) (frame, error) {
	ctx, cancel := context.WithTimeout(ctx, s.server.settings.Limits.IdleTimeout)
	defer cancel()
	_, data, err := s.ws.Read(ctx)
	if err != nil {
		return frame{}, err
	}
	return decodeFrame(data)
}

// take starts a call, or refuses it if too many are in flight.
func (s *session) take(f frame) {
	ctx, cancel := context.WithTimeout(context.Background(), s.within(f))
	if !s.register(f, cancel) {
		cancel()
		refusal := rock.Fail(string(f.Op), s.subject(), rock.Overloaded, rock.NotRun)
		s.answer(f, nil, refusal.Becausef("more than %d calls in flight", s.server.settings.Limits.Calls))
		return
	}
	s.server.inFlight.Add(1)
	s.server.calls.Go("call", func(context.Context) error {
		defer s.server.inFlight.Add(-1)
		defer s.cancel(f.ID)
		body, err := s.serve(ctx, f)
		s.answer(f, body, err)
		return nil
	})
}

func (s *session) within(f frame) time.Duration {
	limit := s.server.settings.Limits.CallTimeout
	if f.Within <= 0 || f.Within > limit.Milliseconds() {
		return limit
	}
	return time.Duration(f.Within) * time.Millisecond
}

// register notes a call in flight. Heartbeats do not count against the limit:
// a busy link is not a broken one.
func (s *session) register(f frame, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Op != opBeat && len(s.cancels) >= s.server.settings.Limits.Calls {
		return false
	}
	if _, known := s.cancels[f.ID]; known {
		return false
	}
	s.cancels[f.ID] = cancel
	return true
}

func (s *session) cancel(id uint64) {
	s.mu.Lock()
	cancel := s.cancels[id]
	delete(s.cancels, id)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// serve runs one call and returns the form of its answer.
func (s *session) serve(ctx context.Context, f frame) (any, error) {
	form, err := decodeCall(f.Op, f.Body)
	if err != nil {
		return nil, rock.Fail(string(f.Op), s.subject(), rock.BadInput, rock.NotRun).Because(err)
	}
	server := s.server.settings.Server
	switch form := form.(type) {
	case *requestForm:
		deadline, _ := ctx.Deadline()
		answer, err := server.ServeForward(ctx, form.request(deadline))
		return formOfAnswer(answer), err
	case *beatForm:
		return s.serveBeat(ctx, form)
	case *changesForm:
		changes, err := server.ServeChanges(ctx, rock.Revision(form.After), form.Limit)
		forms := make([]changeForm, 0, len(changes))
		for _, c := range changes {
			forms = append(forms, formOfChange(c))
		}
		return forms, err
	default:
		revision, records, err := server.ServeSnapshot(ctx)
		return formOfSnapshot(revision, records), err
	}
}

func (s *session) serveBeat(ctx context.Context, form *beatForm) (any, error) {
	h := form.heartbeat(s.peer)
	if s.server.heard != nil {
		s.server.heard(h)
	}
	own, err := s.server.settings.Server.ServeBeat(ctx, h)
	return formOfBeat(own), err
}

// answer sends the outcome of a call. A body that cannot be sent becomes a
// failure, since the call has run and its answer is lost.
func (s *session) answer(f frame, body any, err error) {
	reply := frame{Kind: frameAnswer, ID: f.ID}
	if err == nil {
		reply.Body, err = encoder.Marshal(body)
	}
	if limit := s.server.settings.Limits.MessageBytes - frameOverhead; err == nil && len(reply.Body) > limit {
		err = rock.Fail(string(f.Op), s.subject(), rock.TooLarge, rock.MayHaveRun).
			Becausef("answer of %d bytes: at most %d are allowed", len(reply.Body), limit)
	}
	if err != nil {
		reply.Body = nil
		reply.Failure = formOfFailure(f.Op, err)
	}
	if err := s.write(reply); err != nil {
		s.server.settings.Log.WithError(err).WithField("peer", s.peer.Name()).Debug("answer lost")
	}
}

func (s *session) write(f frame) error {
	data, err := encoder.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.server.settings.Limits.WriteTimeout)
	defer cancel()
	return s.ws.Write(ctx, websocket.MessageBinary, data)
}

func (s *session) subject() string { return "peer " + s.server.settings.Self.Name() }
