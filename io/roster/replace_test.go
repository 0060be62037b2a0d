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

// testEntry is an entry with only its peer server, its links and its status row. It
// answers forwarded requests after a time that depends on the length of their id.
type testEntry struct {
	member    rock.Member
	server    *link.Server
	set       *link.Set
	roster    *roster.Roster
	leaving   atomic.Bool
	runs      *runCounter
	terminate func()
}

// runCounter counts how often each request was run, at all entries.
type runCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *runCounter) add(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[id]++
	return r.counts[id]
}

func (r *runCounter) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[id]
}

func startTestEntry(t *testing.T, d *depot.Depot, r *runCounter, name, zone, incarnation string) *testEntry {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &testEntry{member: rock.NewMember(name, zone, listener.Addr().String(), incarnation), runs: r}
	s := link.Settings{
		Self: e.member, Secret: "s", Server: e, Beat: func(time.Time) rock.Heartbeat { return e.heartbeat() },
		Limits: link.Limits{BeatInterval: 50 * time.Millisecond, BeatTimeout: time.Second, ResumeTimeout: 500 * time.Millisecond, RedialMin: 10 * time.Millisecond},
	}
	e.server, e.set = link.NewServer(s), link.NewSet(s)
	e.server.Notify(e.set)
	e.roster = roster.New(roster.Settings{
		Self: e.member, Table: d, OnStatuses: e.set.Learn,
		CheckInterval: 20 * time.Millisecond, ReadInterval: 50 * time.Millisecond,
	})
	door := &http.Server{Handler: e.server, ReadHeaderTimeout: time.Second}
	g := group.New(context.Background())
	g.Go("door", func(context.Context) error { _ = door.Serve(listener); return nil })
	g.Go("set", e.set.Run)
	g.Go("roster", e.roster.Run)
	e.terminate = sync.OnceFunc(func() { g.Stop(); _ = door.Close(); e.server.Close(); _ = g.Wait() })
	t.Cleanup(e.terminate)
	return e
}

// stop performs a planned stop.
func (e *testEntry) stop(ctx context.Context) error {
	e.leaving.Store(true)
	e.set.Tell()
	if err := e.roster.Announce(ctx, rock.EntryLeaving); err != nil {
		return err
	}
	if err := e.server.Shutdown(ctx); err != nil {
		return err
	}
	if err := e.roster.Announce(ctx, rock.EntryGone); err != nil {
		return err
	}
	e.terminate()
	return nil
}

func (e *testEntry) heartbeat() rock.Heartbeat {
	return rock.NewHeartbeat(e.member, 1, e.leaving.Load(), nil)
}

func (e *testEntry) ServeForward(_ context.Context, r rock.Request) (rock.Answer, error) {
	if e.leaving.Load() {
		return rock.Answer{}, rock.Fail("forward", e.member.Name(), rock.Leaving, rock.NotRun)
	}
	count := e.runs.add(r.ID())
	time.Sleep(time.Duration(len(r.ID())%7) * 10 * time.Millisecond) // run time of the task
	return rock.NewAnswer(r.ID(), fmt.Sprint(count), nil), nil
}

func (e *testEntry) ServeHeartbeat(context.Context, rock.Heartbeat) (rock.Heartbeat, error) {
	return e.heartbeat(), nil
}

func (e *testEntry) ServeChanges(context.Context, rock.Revision, int) ([]rock.Change, error) {
	return nil, nil
}

func (e *testEntry) ServeSnapshot(context.Context) (rock.Revision, []rock.Record, error) {
	return 0, nil, nil
}

// call sends a request to the peers, one after another, until one answers or fails
// in such a way that the request may have run.
func (e *testEntry) call(ctx context.Context, id string) error {
	r := rock.NewRequest(rock.RequestSpec{ID: id, Deadline: time.Now().Add(20 * time.Second)})
	for ctx.Err() == nil {
		for _, v := range e.set.Alive(time.Now()) {
			_, err := v.Peer().Forward(ctx, r)
			if rock.VerdictOf(err) != rock.NotRun {
				return err
			}
			if e.runs.count(id) > 0 {
				return fmt.Errorf("request %s ran but was reported as not run: %w", id, err)
			}
		}
		time.Sleep(time.Millisecond) // between two rounds of attempts
	}
	return ctx.Err()
}

func (e *testEntry) awaitIncarnations(t *testing.T, want map[string]string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for name, incarnation := range want {
			state, _ := e.set.State(time.Now(), name)
			v, ok := e.set.Find(name)
			if !ok || state != peers.Alive || v.Heartbeat().Member().Incarnation() != incarnation {
				return poll.Continue("%s is %s", name, state)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestEntriesOfAZoneAreReplacedOneByOne guards against requests that are lost or run
// twice while the entries of a zone are replaced, by planned stops or after
// crashes. An entry of another zone sends requests all the time. Only crashes may
// lose answers, at most three per concurrent request, and those are reported as
// possibly run.
func TestEntriesOfAZoneAreReplacedOneByOne(t *testing.T) {
	cases := map[string]struct {
		stop     func(*testEntry) error
		maxLost  int
		lostOnly rock.Verdict
	}{
		"planned stop": {stop: func(e *testEntry) error { return e.stop(context.Background()) }, maxLost: 0},
		"crash":        {stop: func(e *testEntry) error { e.terminate(); return nil }, maxLost: 3 * concurrentRequests, lostOnly: rock.MayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := depot.New(depot.Settings{})
			r := &runCounter{counts: map[string]int{}}
			zone := map[string]*testEntry{}
			for _, name := range []string{"a1", "a2", "a3"} {
				zone[name] = startTestEntry(t, d, r, name, "a", "1")
			}
			caller := startTestEntry(t, d, r, "b1", "b", "1")
			caller.awaitIncarnations(t, map[string]string{"a1": "1", "a2": "1", "a3": "1"})
			calls := startRequests(caller)
			for _, name := range []string{"a1", "a2", "a3"} {
				calls.awaitSent(t, 100)
				assert.NilError(t, c.stop(zone[name]))
				startTestEntry(t, d, r, name, "a", "2")
				caller.awaitIncarnations(t, map[string]string{name: "2"})
			}
			calls.awaitSent(t, 100)
			lost, sent := calls.finish()
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

// concurrentRequests is the number of requests in flight at a time.
const concurrentRequests = 16

// requestStream sends requests continuously and records those that failed.
type requestStream struct {
	group *group.Group
	stop  chan struct{}
	sent  atomic.Int64
	mu    sync.Mutex
	lost  []error
}

func startRequests(e *testEntry) *requestStream {
	l := &requestStream{group: group.New(context.Background()), stop: make(chan struct{})}
	for i := range concurrentRequests {
		l.group.Go("caller", func(ctx context.Context) error {
			for k := 0; ; k++ {
				select {
				case <-l.stop:
					return nil
				default:
				}
				l.sent.Add(1)
				if err := e.call(ctx, fmt.Sprintf("r%d-%s%d", i, "xxxxxxx"[:k%7], k)); err != nil {
					l.mu.Lock()
					l.lost = append(l.lost, err)
					l.mu.Unlock()
				}
			}
		})
	}
	return l
}

// awaitSent waits until n more requests were sent.
func (l *requestStream) awaitSent(t *testing.T, n int64) {
	t.Helper()
	before := l.sent.Load()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if l.sent.Load() >= before+n {
			return poll.Success()
		}
		return poll.Continue("%d requests", l.sent.Load()-before)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

func (l *requestStream) finish() ([]error, int64) {
	close(l.stop)
	_ = l.group.Wait()
	return l.lost, l.sent.Load()
}
