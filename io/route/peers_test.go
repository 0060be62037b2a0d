package route_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/trace"
	"bramleyrock/io/fakes/config"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/route"

	"gotest.tools/v3/assert"
)

// loss is what happens to forwarded requests on the way.
type loss string

const (
	lossNone    loss = ""
	lossRequest loss = "request" // the link is down
	lossAnswer  loss = "answer"  // the request arrives, its answer does not
)

// site is entries in memory that reach each other, all on the same workers.
type site struct {
	t      testing.TB
	work   *work.Fleet
	source *config.Source
	group  *group.Group

	mu      sync.Mutex
	engines map[string]*route.Engine
	members map[string]rock.Member
	starts  int
	loss    loss
	groups  map[string]*group.Group
	log     *trace.Log
	objects rock.ObjectStore
	table   rock.Table
}

// newSite starts entries e1 and e2 in zone a and e3 in zone b, with two hosts
// of pool tins in each zone.
func newSite(t testing.TB) *site {
	t.Helper()
	s := &site{t: t, work: work.NewFleet(), group: group.New(context.Background()), engines: map[string]*route.Engine{}, members: map[string]rock.Member{}, groups: map[string]*group.Group{}}
	var hosts []rock.Host
	for _, zone := range []string{"a", "b"} {
		for i := range 2 {
			name := fmt.Sprintf("%s%d", zone, i)
			hosts = append(hosts, rock.NewHost(rock.HostSpec{Name: name, Zone: zone, Pool: "tins", Generation: 1, Slots: 4, Open: true}))
		}
	}
	s.freshWorkers()
	s.source = config.NewSource(config.New(1, []rock.Pool{rock.NewPool("tins", "alpha", false)}, hosts))
	for name, zone := range map[string]string{"e1": "a", "e2": "a", "e3": "b"} {
		s.restart(name, zone)
	}
	t.Cleanup(func() {
		for name := range s.members {
			s.kill(name)
		}
		s.group.Stop()
		assert.NilError(t, s.group.Wait())
	})
	return s
}

// freshWorkers replaces all workers by new ones with empty ledgers.
func (s *site) freshWorkers() {
	for _, name := range []string{"a0", "a1", "b0", "b1"} {
		s.work.Add(work.New(work.Settings{Name: name, Slots: 4}))
	}
}

// restart starts an entry, or replaces it by one with another incarnation.
func (s *site) restart(name, zone string) {
	s.kill(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	m := rock.NewMember(name, zone, name, fmt.Sprintf("i%04d", s.starts))
	s.members[name] = m
	s.groups[name] = group.New(context.Background())
	s.engines[name] = route.New(route.Settings{
		Member: m, Fleet: s.source, Target: s.work, Peers: &view{s, name}, Secret: []byte("shared"),
		Random: rand.New(rand.NewPCG(uint64(s.starts), 2)), Group: s.groups[name], ObjectStore: s.objects, Table: s.table, Limits: route.Limits{CallerKeysPerSecond: 1000},
	})
}

// kill takes an entry away.
func (s *site) kill(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		g.Stop()
	}
	delete(s.engines, name)
}

func (s *site) engine(name string) *route.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[name]
}

// lose sets what happens to forwarded requests.
func (s *site) lose(l loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss = l
}

// startsOf counts how often a target started the work of the key.
func (s *site) startsOf(key string) int {
	n := 0
	for _, runs := range s.work.Runs() {
		n += len(slices.DeleteFunc(runs, func(r work.Run) bool { return r.Key != key }))
	}
	return n
}

// view is the site as one entry sees it. It implements [rock.PeerSet].
type view struct {
	site *site
	self string
}

// Alive implements [rock.PeerSet].
func (v *view) Alive(now time.Time) []rock.PeerView {
	v.site.mu.Lock()
	engines := map[string]*route.Engine{}
	for name, e := range v.site.engines {
		engines[name] = e
	}
	members := map[string]rock.Member{}
	for name, m := range v.site.members {
		members[name] = m
	}
	v.site.mu.Unlock()
	var views []rock.PeerView
	for name, e := range engines {
		if name != v.self {
			views = append(views, rock.NewPeerView(&peer{v.site, name}, rock.NewHeartbeat(members[name], 1, false, e.Loads(now)), now, time.Millisecond))
		}
	}
	return views
}

// Find implements [rock.PeerSet].
func (v *view) Find(name string) (rock.PeerView, bool) {
	v.site.mu.Lock()
	defer v.site.mu.Unlock()
	m, ok := v.site.members[name]
	return rock.NewPeerView(&peer{v.site, name}, rock.NewHeartbeat(m, 1, false, nil), time.Time{}, 0), ok
}

// peer is an entry of the site as others call it. It implements [rock.Peer]
// for forwarded requests only.
type peer struct {
	site *site
	name string
}

// Member implements [rock.Peer].
func (p *peer) Member() rock.Member { return p.site.members[p.name] }

// Forward implements [rock.Peer].
func (p *peer) Forward(ctx context.Context, r rock.Request) (rock.Answer, error) {
	p.site.mu.Lock()
	e, l := p.site.engines[p.name], p.site.loss
	p.site.mu.Unlock()
	if e == nil || l == lossRequest {
		return rock.Answer{}, rock.Fail("forward", "peer "+p.name, rock.Unavailable, rock.NotRun)
	}
	a, err := e.ServeForward(ctx, r.Forwarded())
	if l == lossAnswer {
		return rock.Answer{}, rock.Fail("forward", "peer "+p.name, rock.Unavailable, rock.MayHaveRun)
	}
	return a, err
}

// SendHeartbeat implements [rock.Peer].
func (p *peer) SendHeartbeat(context.Context, rock.Heartbeat) (rock.Heartbeat, error) {
	return rock.Heartbeat{}, rock.Fail("beat", "peer "+p.name, rock.Unavailable, rock.NotRun)
}

// Changes implements [rock.Peer].
func (p *peer) Changes(context.Context, rock.Revision, int) ([]rock.Change, error) {
	return nil, rock.Fail("read changes", "peer "+p.name, rock.Unavailable, rock.NotRun)
}

// Snapshot implements [rock.Peer].
func (p *peer) Snapshot(context.Context) (rock.Revision, []rock.Record, error) {
	return 0, nil, rock.Fail("read snapshot", "peer "+p.name, rock.Unavailable, rock.NotRun)
}
