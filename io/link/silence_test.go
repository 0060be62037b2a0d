package link_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/peers"
	"bramleyrock/io/fakes/relay"
	"bramleyrock/io/link"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// quick are limits under which faults are noticed soon.
var quick = link.Limits{
	BeatInterval: 50 * time.Millisecond, BeatTimeout: 400 * time.Millisecond,
	ResumeTimeout: 5 * time.Second, RedialMin: 10 * time.Millisecond,
}

func without(change func(*link.Limits)) link.Limits {
	l := quick
	change(&l)
	return l
}

// TestRequestOnALinkThatGoesSilent silences the open connection for good, in
// the middle of a request, while new connections work.
func TestRequestOnALinkThatGoesSilent(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		limits  link.Limits
		stalled relay.Direction
		runs    int64
		verdict rock.Verdict
		reason  rock.Reason
	}{
		"answer lost":                {quick, relay.Answers, 1, rock.Ran, ""},
		"call lost":                  {quick, relay.Calls, 0, rock.NotRun, rock.Unavailable},
		"without asking again":       {without(func(l *link.Limits) { l.ResumeTimeout = 1 }), relay.Answers, 1, rock.MayHaveRun, rock.Unavailable},
		"without heartbeat deadline": {without(func(l *link.Limits) { l.BeatTimeout = time.Hour }), relay.Answers, 1, rock.MayHaveRun, rock.DeadlineExceeded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			b := startEntry(t, entrySpec{name: "e2", relayed: true, forward: func(_ context.Context, r rock.Request) (rock.Answer, error) {
				runs.Add(1)
				return rock.NewAnswer(r.ID(), "h1", r.Payload()), nil
			}})
			a := startEntry(t, entrySpec{name: "e1", seeds: []string{b.member.Address()}, limits: c.limits})
			p := a.peer(t, "e2")
			b.relay.Set(c.stalled, relay.Stall)
			done := startForward(p, shortRequest("r1", 4*time.Second))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if c.stalled == relay.Calls || runs.Load() == 1 {
					return poll.Success()
				}
				return poll.Continue("not run")
			}, poll.WithTimeout(20*time.Second))
			b.relay.Silence()
			b.relay.Set(c.stalled, relay.Pass)
			got := <-done
			assert.Equal(t, rock.VerdictOf(got.err), c.verdict, "%v", got.err)
			assert.Equal(t, rock.ReasonOf(got.err), c.reason, "%v", got.err)
			assert.Equal(t, runs.Load(), c.runs)
			if got.err == nil {
				assert.Equal(t, string(got.answer.Payload()), `{"n":1}`)
			}
		})
	}
}

// TestSilentLinkIsReplacedInTime uses the default limits.
func TestSilentLinkIsReplacedInTime(t *testing.T) {
	t.Parallel()
	const bound = 6 * time.Second
	b := startEntry(t, entrySpec{name: "e2", relayed: true})
	a := startEntry(t, entrySpec{name: "e1", seeds: []string{b.member.Address()}})
	p := a.peer(t, "e2")
	b.relay.Silence()
	start := time.Now()
	_, err := p.Forward(context.Background(), request("r1"))
	took := time.Since(start)
	t.Logf("verdict %s after %v", rock.VerdictOf(err), took)
	assert.Assert(t, took < bound, "took %v", took)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun, "the call never arrived: %v", err)
	answer, err := p.Forward(context.Background(), request("r2"))
	assert.NilError(t, err)
	assert.Equal(t, answer.RequestID(), "r2")
}

// TestPeerRestartedAfterALostAnswer checks that a new run of the peer, which
// cannot know of the request, is not asked.
func TestPeerRestartedAfterALostAnswer(t *testing.T) {
	t.Parallel()
	started := make(chan struct{})
	b := startEntry(t, entrySpec{name: "e2", forward: func(ctx context.Context, _ rock.Request) (rock.Answer, error) {
		close(started)
		<-ctx.Done()
		return rock.Answer{}, ctx.Err()
	}})
	a := startEntry(t, entrySpec{name: "e1", seeds: []string{b.member.Address()}, limits: quick})
	done := startForward(a.peer(t, "e2"), shortRequest("r1", 10*time.Second))
	<-started
	b.stop()
	startEntry(t, entrySpec{name: "e2", address: b.member.Address(), incarnation: "2"})
	got := <-done
	assert.Equal(t, rock.VerdictOf(got.err), rock.MayHaveRun)
	assert.Equal(t, rock.ReasonOf(got.err), rock.Unavailable)
}

// TestCutHeals cuts all connections, old and new, and lets them through again.
func TestCutHeals(t *testing.T) {
	t.Parallel()
	const bound = 8 * time.Second
	cases := map[string]struct{ cut, heal func(*relay.Relay) }{
		"refused": {
			cut:  func(r *relay.Relay) { r.Refuse(true); r.Cut() },
			heal: func(r *relay.Relay) { r.Refuse(false) },
		},
		"stalled": {
			cut:  func(r *relay.Relay) { r.Set(relay.Calls, relay.Drop); r.Set(relay.Answers, relay.Drop) },
			heal: func(r *relay.Relay) { r.Set(relay.Calls, relay.Pass); r.Set(relay.Answers, relay.Pass) },
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startEntry(t, entrySpec{name: "e2", relayed: true})
			a := startEntry(t, entrySpec{name: "e1", relayed: true, seeds: []string{b.member.Address()}})
			a.peer(t, "e2")
			c.cut(b.relay)
			c.cut(a.relay)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if state, _ := a.set.State(time.Now(), "e2"); state == peers.Slow && len(a.set.Alive(time.Now())) == 0 {
					return poll.Success()
				}
				return poll.Continue("not slow yet")
			}, poll.WithTimeout(20*time.Second))
			c.heal(b.relay)
			c.heal(a.relay)
			start := time.Now()
			a.peer(t, "e2")
			took := time.Since(start)
			t.Logf("alive %v after healing", took)
			assert.Assert(t, took < bound, "took %v", took)
		})
	}
}

// TestPeerThatIsHeardButCannotBeCalled cuts one way only.
func TestPeerThatIsHeardButCannotBeCalled(t *testing.T) {
	t.Parallel()
	b := startEntry(t, entrySpec{name: "e2", relayed: true, limits: quick})
	a := startEntry(t, entrySpec{name: "e1", seeds: []string{b.member.Address()}, limits: quick})
	a.peer(t, "e2")
	b.peer(t, "e1")
	b.relay.Refuse(true)
	b.relay.Cut()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		lines := a.set.Status(time.Now())
		if len(a.set.Alive(time.Now())) == 0 && len(lines) == 1 && !lines[0].Linked && lines[0].State == peers.Alive {
			return poll.Success()
		}
		return poll.Continue("%v", lines)
	}, poll.WithTimeout(20*time.Second))
	b.peer(t, "e1")
}

// forwarded is the outcome of a request.
type forwarded struct {
	answer rock.Answer
	err    error
}
