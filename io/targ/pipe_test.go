package targ_test

import (
	"context"
	"time"

	rock "bramleyrock"
)

// pipes are the peers of one entry of a site.
type pipes struct {
	site *site
	own  int
}

// Alive implements [rock.PeerSet].
func (p *pipes) Alive(now time.Time) []rock.PeerView { return []rock.PeerView{p.view(now)} }

// Find implements [rock.PeerSet].
func (p *pipes) Find(name string) (rock.PeerView, bool) {
	v := p.view(time.Now())
	return v, v.Peer().Member().Name() == name
}

// view returns the other entry.
func (p *pipes) view(now time.Time) rock.PeerView {
	other := 1 - p.own
	m := p.site.member(other)
	beat := rock.NewHeartbeat(m, 1, false, p.site.engines[other].Loads(now))
	return rock.NewPeerView(&pipe{pipes: p, member: m, other: other}, beat, now, time.Millisecond)
}

// pipe forwards requests to an entry and breaks a share of the forwards.
type pipe struct {
	*pipes
	member rock.Member
	other  int
}

// Member implements [rock.Peer].
func (p *pipe) Member() rock.Member { return p.member }

// draw returns the fate of a forward.
func (p *pipe) draw() wireFault {
	s := p.site
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Float64() >= s.share {
		return faultNone
	}
	return []wireFault{faultRefused, faultCallReset, faultReset}[s.faults.IntN(3)]
}

// Forward implements [rock.Peer].
func (p *pipe) Forward(ctx context.Context, r rock.Request) (rock.Answer, error) {
	lost := rock.Fail("forward", "entry "+p.member.Name(), rock.Unavailable, rock.MayHaveRun)
	engine := p.site.engines[p.other]
	switch p.draw() {
	case faultRefused:
		return rock.Answer{}, rock.Fail("forward", "entry "+p.member.Name(), rock.Unavailable, rock.NotRun)
	case faultCallReset:
		return rock.Answer{}, lost
	case faultReset:
		// The peer goes on with the request until its deadline.
		p.site.group.Go("forward", func(ctx context.Context) error {
			_, _ = engine.ServeForward(ctx, r.Forwarded())
			return nil
		})
		return rock.Answer{}, lost
	}
	return engine.ServeForward(ctx, r.Forwarded())
}

// SendHeartbeat implements [rock.Peer]; it is not used.
func (p *pipe) SendHeartbeat(context.Context, rock.Heartbeat) (rock.Heartbeat, error) {
	return rock.Heartbeat{}, rock.Fail("beat", p.member.Name(), rock.Unavailable, rock.NotRun)
}

// Changes implements [rock.Peer]; it is not used.
func (p *pipe) Changes(context.Context, rock.Revision, int) ([]rock.Change, error) {
	return nil, rock.Fail("changes", p.member.Name(), rock.Unavailable, rock.NotRun)
}

// Snapshot implements [rock.Peer]; it is not used.
func (p *pipe) Snapshot(context.Context) (rock.Revision, []rock.Record, error) {
	return 0, nil, rock.Fail("snapshot", p.member.Name(), rock.Unavailable, rock.NotRun)
}
