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

// linkFault is the fault of the links between entries.
type linkFault string

const (
	linkUp       linkFault = ""
	requestsLost linkFault = "request" // requests do not arrive
	answersLost  linkFault = "answer"  // requests arrive, their answers do not
)

// cluster holds entries in memory that forward requests to each other and use
// the same workers.
type cluster struct {
	t      testing.TB
	work   *work.Fleet
	source *config.Source
	group  *group.Group

	mu           sync.Mutex
	engines      map[string]*route.Engine
	members      map[string]rock.Member
	incarnations int
	linkFault    linkFault
	groups       map[string]*group.Group
	trace        *trace.Log
	objects      rock.ObjectStore
	table        rock.Table
}

// newCluster starts entries e1 and e2 in zone a and e3 in zone b, with two hosts
// of pool tins in each zone.
func newCluster(t testing.TB) *cluster {
	t.Helper()
	s := &cluster{t: t, work: work.NewFleet(), group: group.New(context.Background()), engines: map[string]*route.Engine{}, members: map[string]rock.Member{}, groups: map[string]*group.Group{}}
	var hosts []rock.Host
	for _, zone := range []string{"a", "b"} {
		for i := range 2 {
			name := fmt.Sprintf("%s%d", zone, i)
			hosts = append(hosts, rock.NewHost(rock.HostSpec{Name: name, Zone: zone, Pool: "tins", Generation: 1, Slots: 4, Open: true}))
		}
	}
	s.replaceWorkers()
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

// replaceWorkers replaces all workers by new ones without recorded runs.
func (s *cluster) replaceWorkers() {
	for _, name := range []string{"a0", "a1", "b0", "b1"} {
		s.work.Add(work.New(work.Settings{Name: name, Slots: 4}))
	}
}

// restart starts an entry, or replaces it by one with a new incarnation and no
// state.
func (s *cluster) restart(name, zone string) {
	s.kill(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations++
	m := rock.NewMember(name, zone, name, fmt.Sprintf("i%04d", s.incarnations))
	s.members[name] = m
	s.groups[name] = group.New(context.Background())
	s.engines[name] = route.New(route.Settings{
		Member: m, Fleet: s.source, Target: s.work, Peers: &peerSet{s, name}, Secret: []byte("shared"),
		Random: rand.New(rand.NewPCG(uint64(s.incarnations), 2)), Group: s.groups[name], ObjectStore: s.objects, Table: s.table, Limits: route.Limits{CallerKeysPerSecond: 1000},
	})
}

// kill stops an entry without draining it.
func (s *cluster) kill(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[name]; g != nil {
		g.Stop()
	}
	delete(s.engines, name)
}

func (s *cluster) engine(name string) *route.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[name]
}

// setLinkFault sets the fault of all links from now on.
func (s *cluster) setLinkFault(f linkFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkFault = f
}

// countStarts returns how often the workers started a task with the key.
func (s *cluster) countStarts(key string) int {
	n := 0
	for _, runs := range s.work.Runs() {
		n += len(slices.DeleteFunc(runs, func(r work.Run) bool { return r.Key != key }))
	}
	return n
}

// peerSet is the set of peers of one entry. It implements [rock.PeerSet].
type peerSet struct {
	cluster *cluster
	self    string
}

// Alive implements [rock.PeerSet].
func (v *peerSet) Alive(now time.Time) []rock.PeerView {
	v.cluster.mu.Lock()
	engines := map[string]*route.Engine{}
	for name, e := range v.cluster.engines {
		engines[name] = e
	}
	members := map[string]rock.Member{}
	for name, m := range v.cluster.members {
		members[name] = m
	}
	v.cluster.mu.Unlock()
	var views []rock.PeerView
	for name, e := range engines {
		if name != v.self {
			views = append(views, rock.NewPeerView(&peer{v.cluster, name}, rock.NewHeartbeat(members[name], 1, false, e.Loads(now)), now, time.Millisecond))
		}
	}
	return views
}

// Find implements [rock.PeerSet].
func (v *peerSet) Find(name string) (rock.PeerView, bool) {
	v.cluster.mu.Lock()
	defer v.cluster.mu.Unlock()
	m, ok := v.cluster.members[name]
	return rock.NewPeerView(&peer{v.cluster, name}, rock.NewHeartbeat(m, 1, false, nil), time.Time{}, 0), ok
}

// peer is an entry of the cluster as others call it. It implements [rock.Peer],
// but only for forwarded requests.
type peer struct {
	cluster *cluster
	name    string
}

// Member implements [rock.Peer].
func (p *peer) Member() rock.Member { return p.cluster.members[p.name] }

// Forward implements [rock.Peer].
func (p *peer) Forward(ctx context.Context, r rock.Request) (rock.Answer, error) {
	p.cluster.mu.Lock()
	e, fault := p.cluster.engines[p.name], p.cluster.linkFault
	p.cluster.mu.Unlock()
	if e == nil || fault == requestsLost {
		return rock.Answer{}, rock.Fail("forward", "peer "+p.name, rock.Unavailable, rock.NotRun)
	}
	a, err := e.ServeForward(ctx, r.Forwarded())
	if fault == answersLost {
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
