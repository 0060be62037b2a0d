package link_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/relay"
	"bramleyrock/io/link"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const secret = "a secret of the test"

// entry is one end of the links under test. It implements [rock.PeerServer].
type entry struct {
	member  rock.Member
	server  *link.Server
	set     *link.Set
	forward func(ctx context.Context, r rock.Request) (rock.Answer, error)
	stop    func()
	relay   *relay.Relay // nil unless the entry is reached through one

	mu       sync.Mutex
	revision rock.Revision
	leaving  bool
	loads    []rock.PoolLoad
	heard    rock.Revision
}

// entrySpec holds what differs between entries of a test.
type entrySpec struct {
	name        string
	zone        string
	incarnation string
	secret      string
	address     string
	seeds       []string
	relayed     bool
	bytes       *atomic.Int64 // counts the bytes of accepted links, if not nil
	limits      link.Limits
	forward     func(ctx context.Context, r rock.Request) (rock.Answer, error)
}

// startEntry starts an entry on a loopback address.
func startEntry(t testing.TB, s entrySpec) *entry {
	t.Helper()
	if s.address == "" {
		s.address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", s.address)
	assert.NilError(t, err)
	if s.zone == "" {
		s.zone = "a"
	}
	if s.incarnation == "" {
		s.incarnation = "1"
	}
	if s.secret == "" {
		s.secret = secret
	}
	e := &entry{forward: s.forward}
	address := listener.Addr().String()
	if s.relayed {
		e.relay, err = relay.New(address)
		assert.NilError(t, err)
		t.Cleanup(e.relay.Close)
		address = e.relay.Address()
	}
	e.member = rock.NewMember(s.name, s.zone, address, s.incarnation)
	settings := link.Settings{
		Self: e.member, Secret: s.secret, Seeds: s.seeds, Server: e, Limits: s.limits,
		Beat:       func(time.Time) rock.Heartbeat { return e.beat() },
		OnRevision: func(r rock.Revision, _ rock.Peer) { e.hearRevision(r) },
	}
	e.server, e.set = link.NewServer(settings), link.NewSet(settings)
	e.server.Notify(e.set)
	if s.bytes != nil {
		listener = countingListener{listener, s.bytes}
	}
	e.serve(t, listener)
	return e
}

func (e *entry) serve(t testing.TB, listener net.Listener) {
	door := &http.Server{Handler: e.server, ReadHeaderTimeout: time.Second}
	g := group.New(context.Background())
	g.Go("door", func(context.Context) error { _ = door.Serve(listener); return nil })
	g.Go("set", e.set.Run)
	e.stop = sync.OnceFunc(func() {
		g.Stop()
		_ = door.Close()
		e.server.Close()
		assert.Check(t, g.Wait())
	})
	t.Cleanup(e.stop)
}

func (e *entry) beat() rock.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rock.NewHeartbeat(e.member, e.revision, e.leaving, e.loads)
}

func (e *entry) setRevision(r rock.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision = r
}

func (e *entry) setLoads(loads []rock.PoolLoad) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads = loads
}

func (e *entry) hearRevision(r rock.Revision) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heard = max(e.heard, r)
}

func (e *entry) heardRevision() rock.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heard
}

func (e *entry) ServeForward(ctx context.Context, r rock.Request) (rock.Answer, error) {
	if e.forward != nil {
		return e.forward(ctx, r)
	}
	return rock.NewAnswer(r.ID(), "h1", r.Payload()), nil
}

func (e *entry) ServeHeartbeat(context.Context, rock.Heartbeat) (rock.Heartbeat, error) {
	return e.beat(), nil
}

func (e *entry) ServeChanges(_ context.Context, after rock.Revision, _ int) ([]rock.Change, error) {
	if after < 1 {
		return nil, rock.Fail("changes", "", rock.NotFound, rock.NotRun)
	}
	record := rock.NewRecord(rock.NewKey(rock.KindPool, "tins"), 1, 1, json.RawMessage(`{"spare":true}`))
	edits := []rock.Edit{rock.NewEdit(record.Key(), nil, &record)}
	return []rock.Change{rock.NewChange("c2", after+1, time.Unix(5, 0).UTC(), "op", "why", edits)}, nil
}

func (e *entry) ServeSnapshot(context.Context) (rock.Revision, []rock.Record, error) {
	return 7, []rock.Record{rock.NewRecord(rock.NewKey(rock.KindPool, "tins"), 1, 3, json.RawMessage(`{}`))}, nil
}

// peer waits until the named peer is alive at e and returns it.
func (e *entry) peer(t testing.TB, name string) rock.Peer {
	t.Helper()
	var found rock.Peer
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, v := range e.set.Alive(time.Now()) {
			if v.Peer().Member().Name() == name {
				found = v.Peer()
				return poll.Success()
			}
		}
		return poll.Continue("%s does not see %s", e.member.Name(), name)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	return found
}

func request(id string) rock.Request {
	return rock.NewRequest(rock.RequestSpec{
		ID: id, Organisation: "alpha", Pool: "tins", Deadline: time.Now().Add(20 * time.Second), Payload: json.RawMessage(`{"n":1}`),
	})
}

func shortRequest(id string, within time.Duration) rock.Request {
	return rock.NewRequest(rock.RequestSpec{ID: id, Pool: "tins", Deadline: time.Now().Add(within), Payload: json.RawMessage(`{"n":1}`)})
}

// startForward sends a request in the background.
func startForward(p rock.Peer, r rock.Request) <-chan forwarded {
	done := make(chan forwarded, 1)
	g := group.New(context.Background())
	g.Go("forward", func(ctx context.Context) error {
		answer, err := p.Forward(ctx, r)
		done <- forwarded{answer, err}
		return nil
	})
	return done
}
