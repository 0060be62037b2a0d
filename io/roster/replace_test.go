package roster_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/peers"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/link"
	"bramleyrock/io/roster"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// node is an entry reduced to its peer door, its links and its status row. It
// answers forwarded requests after a time that depends on their id.
type node struct {
	member  rock.Member
	server  *link.Server
	set     *link.Set
	roster  *roster.Roster
	leaving atomic.Bool
	runs    *runs
	halt    func()
}

// runs counts how often each request was run, at all nodes.
type runs struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *runs) add(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[id]++
	return r.counts[id]
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[id]
}

func startNode(t *testing.T, d *depot.Depot, r *runs, name, zone, incarnation string) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &node{member: rock.NewMember(name, zone, listener.Addr().String(), incarnation), runs: r}
	s := link.Settings{
		Self: n.member, Secret: "s", Server: n, Beat: func(time.Time) rock.Heartbeat { return n.beat() },
		Limits: link.Limits{BeatInterval: 50 * time.Millisecond, BeatTimeout: time.Second, ResumeTimeout: 500 * time.Millisecond, RedialMin: 10 * time.Millisecond},
	}
	n.server, n.set = link.NewServer(s), link.NewSet(s)
	n.server.Notify(n.set)
	n.roster = roster.New(roster.Settings{
		Self: n.member, Table: d, OnStatuses: n.set.Learn,
		CheckInterval: 20 * time.Millisecond, ReadInterval: 50 * time.Millisecond,
	})
	door := &http.Server{Handler: n.server, ReadHeaderTimeout: time.Second}
	g := group.New(context.Background())
	g.Go("door", func(context.Context) error { _ = door.Serve(listener); return nil })
	g.Go("set", n.set.Run)
	g.Go("roster", n.roster.Run)
	n.halt = sync.OnceFunc(func() { g.Stop(); _ = door.Close(); n.server.Close(); _ = g.Wait() })
	t.Cleanup(n.halt)
	return n
}

// stop is a planned stop.
func (n *node) stop(ctx context.Context) error {
	n.leaving.Store(true)
	n.set.Tell()
	if err := n.roster.Announce(ctx, rock.EntryLeaving); err != nil {
		return err
	}
	if err := n.server.Shutdown(ctx); err != nil {
		return err
	}
	if err := n.roster.Announce(ctx, rock.EntryGone); err != nil {
		return err
	}
	n.halt()
	return nil
}

func (n *node) beat() rock.Heartbeat { return rock.NewHeartbeat(n.member, 1, n.leaving.Load(), nil) }

func (n *node) ServeForward(_ context.Context, r rock.Request) (rock.Answer, error) {
	if n.leaving.Load() {
		return rock.Answer{}, rock.Fail("forward", n.member.Name(), rock.Leaving, rock.NotRun)
	}
	count := n.runs.add(r.ID())
	time.Sleep(time.Duration(len(r.ID())%7) * 10 * time.Millisecond) // the work
	return rock.NewAnswer(r.ID(), fmt.Sprint(count), nil), nil
}

func (n *node) ServeHeartbeat(context.Context, rock.Heartbeat) (rock.Heartbeat, error) {
	return n.beat(), nil
}

func (n *node) ServeChanges(context.Context, rock.Revision, int) ([]rock.Change, error) {
	return nil, nil
}

func (n *node) ServeSnapshot(context.Context) (rock.Revision, []rock.Record, error) {
	return 0, nil, nil
}

// call sends a request to the peers until one answers or it may have run.
func (n *node) call(ctx context.Context, id string) error {
	r := rock.NewRequest(rock.RequestSpec{ID: id, Deadline: time.Now().Add(20 * time.Second)})
	for ctx.Err() == nil {
		for _, v := range n.set.Alive(time.Now()) {
			_, err := v.Peer().Forward(ctx, r)
			if rock.VerdictOf(err) != rock.NotRun {
				return err
			}
			if n.runs.of(id) > 0 {
				return fmt.Errorf("request %s ran and was reported: %w", id, err)
			}
		}
		time.Sleep(time.Millisecond) // between two rounds of tries
	}
	return ctx.Err()
}

func (n *node) await(t *testing.T, want map[string]string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for name, incarnation := range want {
			state, _ := n.set.State(time.Now(), name)
			v, ok := n.set.Find(name)
			if !ok || state != peers.Alive || v.Heartbeat().Member().Incarnation() != incarnation {
				return poll.Continue("%s is %s", name, state)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestEntriesOfAZoneAreReplacedOneByOne sends requests from another zone all
// the while.
func TestEntriesOfAZoneAreReplacedOneByOne(t *testing.T) {
	cases := map[string]struct {
		stop     func(*node) error
		maxLost  int
		lostOnly rock.Verdict
	}{
		"planned stop": {stop: func(n *node) error { return n.stop(context.Background()) }, maxLost: 0},
		"crash":        {stop: func(n *node) error { n.halt(); return nil }, maxLost: 3 * callers, lostOnly: rock.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := depot.New(depot.Settings{})
			r := &runs{counts: map[string]int{}}
			zone := map[string]*node{}
			for _, name := range []string{"a1", "a2", "a3"} {
				zone[name] = startNode(t, d, r, name, "a", "1")
			}
			caller := startNode(t, d, r, "b1", "b", "1")
			caller.await(t, map[string]string{"a1": "1", "a2": "1", "a3": "1"})
			calls := startCalls(caller)
			for _, name := range []string{"a1", "a2", "a3"} {
				calls.await(t, 100)
				assert.NilError(t, c.stop(zone[name]))
				startNode(t, d, r, name, "a", "2")
				caller.await(t, map[string]string{name: "2"})
			}
			calls.await(t, 100)
			lost, sent := calls.end()
			t.Logf("%d requests, %d without an answer", sent, len(lost))
			assert.Assert(t, len(lost) <= c.maxLost, "%v", lost)
			for _, err := range lost {
				assert.Equal(t, rock.VerdictOf(err), c.lostOnly, "%v", err)
			}
			for id, n := range r.counts {
				assert.Equal(t, n, 1, "request %s ran %d times", id, n)
			}
		})
	}
}

// callers is the number of requests in flight at any time.
const callers = 16

// load is a stream of requests.
type load struct {
	group *group.Group
	stop  chan struct{}
	sent  atomic.Int64
	mu    sync.Mutex
	lost  []error
}

func startCalls(n *node) *load {
	l := &load{group: group.New(context.Background()), stop: make(chan struct{})}
	for i := range callers {
		l.group.Go("caller", func(ctx context.Context) error {
			for k := 0; ; k++ {
				select {
				case <-l.stop:
					return nil
				default:
				}
				l.sent.Add(1)
				if err := n.call(ctx, fmt.Sprintf("r%d-%s%d", i, "xxxxxxx"[:k%7], k)); err != nil {
					l.mu.Lock()
					l.lost = append(l.lost, err)
					l.mu.Unlock()
				}
			}
		})
	}
	return l
}

// await waits until n more requests were sent.
func (l *load) await(t *testing.T, n int64) {
	t.Helper()
	before := l.sent.Load()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.sent.Load() >= before+n {
			return poll.Success()
		}
		return poll.Continue("%d requests", l.sent.Load()-before)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

func (l *load) end() ([]error, int64) {
	close(l.stop)
	_ = l.group.Wait()
	return l.lost, l.sent.Load()
}
