package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	rock "bramleyrock"
)

// peer is another entry, called over the link that is open at the moment. It
// implements [rock.Peer].
type peer struct {
	address string
	stop    context.CancelFunc
	ids     atomic.Uint64

	mu     sync.Mutex
	member rock.Member
	conn   *conn
	opened chan struct{} // closed when the next connection opens
}

func newPeer(address string) *peer {
	return &peer{address: address, opened: make(chan struct{})}
}

// Member implements [rock.Peer].
func (p *peer) Member() rock.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.member
}

// Forward implements [rock.Peer].
func (p *peer) Forward(ctx context.Context, r rock.Request) (rock.Answer, error) {
	if !r.Deadline().IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.Deadline())
		defer cancel()
	}
	var form answerForm
	data, err := p.forward(ctx, formOfRequest(r.Forwarded()))
	if err != nil {
		return rock.Answer{}, err
	}
	if err := decoder.Unmarshal(data, &form); err != nil {
		return rock.Answer{}, p.fail(opForward, rock.Truncated, rock.MayHaveRun).Because(err)
	}
	if form.RequestID != r.ID() {
		return rock.Answer{}, p.fail(opForward, rock.Truncated, rock.MayHaveRun).
			Becausef("answer is for request %q, not %q", form.RequestID, r.ID())
	}
	return form.answer(), nil
}

// SendHeartbeat implements [rock.Peer].
func (p *peer) SendHeartbeat(ctx context.Context, h rock.Heartbeat) (rock.Heartbeat, error) {
	c, err := p.open(opBeat)
	if err != nil {
		return rock.Heartbeat{}, err
	}
	return c.beat(ctx, h)
}

// Changes implements [rock.Peer].
func (p *peer) Changes(ctx context.Context, after rock.Revision, limit int) ([]rock.Change, error) {
	var forms []changeForm
	if err := p.invoke(ctx, opChanges, changesForm{After: uint64(after), Limit: limit}, &forms); err != nil {
		return nil, err
	}
	changes := make([]rock.Change, 0, len(forms))
	for _, f := range forms {
		changes = append(changes, f.change())
	}
	return changes, nil
}

// Snapshot implements [rock.Peer].
func (p *peer) Snapshot(ctx context.Context) (rock.Revision, []rock.Record, error) {
	var form snapshotForm
	if err := p.invoke(ctx, opSnapshot, nil, &form); err != nil {
		return 0, nil, err
	}
	return rock.Revision(form.Revision), form.records(), nil
}

// forward sends a request. If the connection breaks before the answer comes,
// it asks the same run of the peer over the next connection what became of the
// request.
func (p *peer) forward(ctx context.Context, form requestForm) ([]byte, error) {
	c, err := p.open(opForward)
	if err != nil {
		return nil, err
	}
	sent := c.invoke(ctx, opForward, form)
	if sent.progress != progressBroken {
		return sent.body, sent.err
	}
	for broken := c; ; {
		next := p.await(ctx, broken)
		if next == nil || next.peer.Incarnation() != c.peer.Incarnation() {
			return nil, sent.err
		}
		asked := next.invoke(ctx, opResume, resumeForm{ID: sent.id})
		if asked.progress == progressAnswered || asked.progress == progressLeft {
			return asked.body, asked.err
		}
		broken = next
	}
}

// await returns the connection that follows the broken one, or nil if there is
// none in time.
func (p *peer) await(ctx context.Context, broken *conn) *conn {
	timer := time.NewTimer(broken.limits.ResumeTimeout)
	defer timer.Stop()
	for {
		p.mu.Lock()
		c, opened := p.conn, p.opened
		p.mu.Unlock()
		if c != nil && c != broken {
			return c
		}
		select {
		case <-opened:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// linked reports whether a connection is open.
func (p *peer) linked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn != nil
}

// open returns the connection that is open.
func (p *peer) open(op operation) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return nil, p.fail(op, rock.Unavailable, rock.NotRun).Becausef("no link to %s", p.address)
	}
	return p.conn, nil
}

// invoke makes a call over the open link and decodes its answer into form.
func (p *peer) invoke(ctx context.Context, op operation, body, form any) error {
	c, err := p.open(op)
	if err != nil {
		return err
	}
	called := c.invoke(ctx, op, body)
	if called.err != nil {
		return called.err
	}
	if err := decoder.Unmarshal(called.body, form); err != nil {
		return p.fail(op, rock.Truncated, rock.MayHaveRun).Because(err)
	}
	return nil
}

func (p *peer) fail(op operation, reason rock.Reason, verdict rock.Verdict) *rock.Failure {
	return rock.Fail(string(op), "peer "+p.address, reason, verdict)
}

func (p *peer) connect(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = c
	if c != nil {
		p.member = c.peer
		close(p.opened)
		p.opened = make(chan struct{})
	}
}
