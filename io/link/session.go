package link

import (
	"context"
	"fmt"
	"strings"
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
	link   linkForm
	ledger *ledger

	// beating makes heartbeats follow one another; it guards the fields below.
	beating sync.Mutex
	sender  beatSender
	reader  beatReader

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// newSession returns the session of a connection that carries the named link
// of the peer.
func newSession(s *Server, ws *websocket.Conn, peer rock.Member, link linkForm) *session {
	link.Name = strings.Join([]string{peer.Name(), peer.Incarnation(), link.Name}, " ")
	return &session{server: s, ws: ws, peer: peer, link: link, cancels: map[uint64]context.CancelFunc{}}
}

// run reads calls until the link breaks or falls silent. Calls that were taken
// go on: their effects may be wanted though the answer is lost.
func (s *session) run(ctx context.Context) {
	log := s.server.settings.Log.WithField("peer", s.peer.Name())
	log.Debug("link accepted")
	s.ledger = s.server.ledgers.open(s.server.settings.Now(), s.link, s)
	defer func() { s.server.ledgers.leave(s.server.settings.Now(), s.link.Name, s) }()
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

// take starts a call, or refuses it if too many are in flight. A request that
// comes over a connection that was replaced is dropped.
func (s *session) take(f frame) {
	ctx, cancel := context.WithTimeout(context.Background(), s.within(f))
	if !s.register(f, cancel) {
		cancel()
		refusal := rock.Fail(string(f.Op), s.subject(), rock.Overloaded, rock.NotRun)
		s.send(s.reply(f, nil, refusal.Becausef("more than %d calls in flight", s.server.settings.Limits.Calls)))
		return
	}
	var taken *record
	if f.Op == opForward {
		var ok bool
		if taken, ok = s.ledger.start(s, f.ID, cancel); !ok {
			s.cancel(f.ID)
			return
		}
	}
	s.server.inFlight.Add(1)
	s.server.calls.Go("call", func(context.Context) error {
		defer s.server.inFlight.Add(-1)
		defer s.cancel(f.ID)
		s.finish(f, taken, s.outcome(ctx, f))
		return nil
	})
}

// outcome runs one call and returns the frame that answers it.
func (s *session) outcome(ctx context.Context, f frame) frame {
	if f.Op == opResume {
		return s.resume(ctx, f)
	}
	body, err := s.serve(ctx, f)
	return s.reply(f, body, err)
}

// finish notes the outcome of a request and sends it.
func (s *session) finish(f frame, taken *record, reply frame) {
	if taken != nil {
		s.ledger.end(s.server.settings.Now(), f.ID, taken, reply.Body, reply.Failure)
	}
	s.send(reply)
}

// resume waits for the outcome of a request that was taken over an earlier
// connection of the link.
func (s *session) resume(ctx context.Context, f frame) frame {
	form, err := decodeCall(f.Op, f.Body)
	if err != nil {
		return s.reply(f, nil, rock.Fail(string(f.Op), s.subject(), rock.BadInput, rock.MayHaveRun).Because(err))
	}
	taken, err := s.ledger.find(form.(*resumeForm).ID)
	if err != nil {
		return s.reply(f, nil, err)
	}
	select {
	case <-taken.done:
		return frame{Kind: frameAnswer, ID: f.ID, Body: taken.body, Failure: taken.failure}
	case <-ctx.Done():
		taken.cancel()
		return s.reply(f, nil, rock.Fail(string(f.Op), s.subject(), reasonOf(ctx.Err()), rock.MayHaveRun).Because(ctx.Err()))
	}
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
		return s.serveBeat(ctx, f.ID, form)
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

func (s *session) serveBeat(ctx context.Context, id uint64, form *beatForm) (any, error) {
	s.beating.Lock()
	defer s.beating.Unlock()
	h, newest := s.reader.decode(id, *form, s.peer)
	if !newest {
		return nil, rock.Fail(string(opBeat), s.subject(), rock.Expired, rock.NotRun).Becausef("a newer heartbeat was taken")
	}
	if s.server.heard != nil {
		s.server.heard(h)
	}
	own, err := s.server.settings.Server.ServeHeartbeat(ctx, h)
	if err != nil {
		return nil, err
	}
	return s.sender.encode(own, form.AskFull), nil
}

// reply returns the frame that answers a call. A body that cannot be sent
// becomes a failure, since the call has run and its answer is lost.
func (s *session) reply(f frame, body any, err error) frame {
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
	return reply
}

// sayGoodbye asks the dialler to send no more calls.
func (s *session) sayGoodbye() { s.send(frame{Kind: frameGoodbye}) }

func (s *session) send(reply frame) {
	if err := s.write(reply); err != nil {
		s.server.settings.Log.WithError(err).WithField("peer", s.peer.Name()).Debug("message lost")
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
