package link

import (
	"context"
	"sync"

	rock "bramleyrock"
)

// peer is another entry, called over the link that is open at the moment. It
// implements [rock.Peer].
type peer struct {
	address string
	stop    context.CancelFunc

	mu     sync.Mutex
	member rock.Member
	conn   *conn
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
	if err := p.invoke(ctx, opForward, formOfRequest(r.Forwarded()), &form); err != nil {
		return rock.Answer{}, err
	}
	if form.RequestID != r.ID() {
		return rock.Answer{}, p.fail(opForward, rock.Truncated, rock.MayHaveRun).
			Becausef("answer is for request %q, not %q", form.RequestID, r.ID())
	}
	return form.answer(), nil
}

// Beat implements [rock.Peer].
func (p *peer) Beat(ctx context.Context, h rock.Heartbeat) (rock.Heartbeat, error) {
	var form beatForm
	if err := p.invoke(ctx, opBeat, formOfBeat(h), &form); err != nil {
		return rock.Heartbeat{}, err
	}
	return form.heartbeat(p.Member()), nil
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

// invoke makes a call over the open link and decodes its answer into form.
func (p *peer) invoke(ctx context.Context, op operation, body, form any) error {
	p.mu.Lock()
	c := p.conn
	p.mu.Unlock()
	if c == nil {
		return p.fail(op, rock.Unavailable, rock.NotRun).Becausef("no link to %s", p.address)
	}
	data, err := c.invoke(ctx, op, body)
	if err != nil {
		return err
	}
	if err := decoder.Unmarshal(data, form); err != nil {
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
	}
}
