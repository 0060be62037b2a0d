package books_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/trace"
	"bramleyrock/io/books"
	"bramleyrock/io/fakes/depot"
)

// world is a platform and entries in zones, with links that can be cut. It
// runs in the replayed time of a synctest bubble.
type world struct {
	t     testing.TB
	depot *depot.Depot
	log   trace.Log
	tune  func(s *books.Settings)
	// hang makes calls through a cut hang instead of failing at once.
	hang bool
	// hints is false to switch off what peers tell each other.
	hints bool

	mu      sync.Mutex
	down    bool
	cut     map[[2]string]bool
	nodes   map[string]*node
	accepts map[rock.Revision]time.Time
	bytes   atomic.Int64
	calls   map[int64]int
}

// platform is the name of the platform in cuts, beside the names of zones.
const platform = "platform"

func newWorld(t testing.TB) *world {
	return &world{
		t:       t,
		depot:   depot.New(depot.Settings{}),
		hints:   true,
		cut:     map[[2]string]bool{},
		nodes:   map[string]*node{},
		accepts: map[rock.Revision]time.Time{},
		calls:   map[int64]int{},
	}
}

// split cuts or heals the link between two zones, or a zone and the platform.
func (w *world) split(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = cut, cut
	w.noteReach()
}

// platformDown takes the platform away from all entries, or gives it back.
func (w *world) platformDown(down bool) {
	w.depot.SetFaults(depot.Faults{Down: down})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
	w.noteReach()
}

// noteReach notes which entries can reach the platform, or a peer that can.
func (w *world) noteReach() {
	for _, n := range w.nodes {
		alone := !w.reached(n)
		if alone == n.alone {
			continue
		}
		n.alone = alone
		kind := trace.EntryHealed
		if alone {
			kind = trace.EntryCut
		}
		w.log.Add(trace.Event{At: time.Now(), Kind: kind, Entry: n.name, Zone: n.zone})
	}
}

func (w *world) reached(n *node) bool {
	if w.down {
		return false
	}
	for _, o := range w.nodes {
		if !w.cut[[2]string{o.zone, n.zone}] && !w.cut[[2]string{o.zone, platform}] {
			return true
		}
	}
	return false
}

func (w *world) apart(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]string{a, b}]
}

// start starts an entry with nothing but its settings.
func (w *world) start(name, zone string) *node {
	n := &node{world: w, name: name, zone: zone}
	s := books.Settings{
		Table:   gate{Table: w.depot, node: n},
		Objects: objectGate{ObjectStore: w.depot, node: n},
		Now:     time.Now,
		Seed:    uint64(len(name)) + uint64(name[len(name)-1]),
	}
	if w.tune != nil {
		w.tune(&s)
	}
	n.books = books.New(s)
	w.mu.Lock()
	w.nodes[name] = n
	w.log.Add(trace.Event{At: time.Now(), Kind: trace.EntryStarted, Entry: name, Zone: zone})
	w.noteReach()
	w.mu.Unlock()
	n.group = group.New(context.Background())
	n.group.Go("follow", n.books.Follow)
	n.group.Go("watch", n.watch)
	n.group.Go("beat", n.beat)
	return n
}

// others returns the running entries that n can reach.
func (w *world) others(n *node) []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*node
	for _, o := range w.nodes {
		if o != n && !w.cut[[2]string{o.zone, n.zone}] {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b *node) int { return cmp.Compare(a.name, b.name) })
	return found
}

// busiest returns the greatest number of calls in a second since the time.
func (w *world) busiest(since time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0
	for second, n := range w.calls {
		if second >= since.Unix() {
			most = max(most, n)
		}
	}
	return most
}

// stop ends all entries.
func (w *world) stop() {
	for _, n := range w.running() {
		n.stop()
	}
}

// accepted notes an accepted change.
func (w *world) accepted(c rock.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.accepts[c.Revision()]; !ok {
		w.accepts[c.Revision()] = time.Now()
		w.log.Add(trace.Event{At: time.Now(), Kind: trace.ChangeAccepted, Revision: c.Revision(), ChangeID: c.ID()})
	}
}

// judge returns the broken outcomes.
func (w *world) judge() []trace.Violation {
	outcomes, err := trace.Select("in_force_within", "never_older")
	if err != nil {
		w.t.Fatal(err)
	}
	return trace.Check(w.log.Events(), outcomes)
}

// node is a running entry.
type node struct {
	world *world
	name  string
	zone  string
	books *books.Books
	group *group.Group
	alone bool
}

// stop ends the entry at once, as a kill would.
func (n *node) stop() {
	n.world.mu.Lock()
	delete(n.world.nodes, n.name)
	n.world.mu.Unlock()
	n.group.Stop()
	if err := n.group.Wait(); err != nil {
		n.world.t.Error(err)
	}
	n.world.log.Add(trace.Event{At: time.Now(), Kind: trace.EntryLost, Entry: n.name, Zone: n.zone})
}

// watch notes each configuration that is put in force.
func (n *node) watch(ctx context.Context) error {
	for {
		changed := n.books.Watch()
		if f, ok := n.books.Fleet(); ok {
			n.world.log.Add(trace.Event{At: time.Now(), Kind: trace.ChangeInForce, Entry: n.name, Revision: f.Revision()})
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beat tells the peers the own revision, as a heartbeat does.
func (n *node) beat(ctx context.Context) error {
	for {
		if _, ok := n.books.Fleet(); ok && n.world.hints {
			for _, o := range n.world.others(n) {
				o.books.Hint(n.books.Revision(), link{from: o, to: n})
			}
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// change makes a change through the entry and notes it if it was accepted.
func (n *node) change(id string, r rock.Record) (rock.Change, error) {
	c, err := n.books.Change(context.Background(), time.Now(), proposal(id, r))
	if err == nil {
		n.world.accepted(c)
	}
	return c, err
}

// link is the connection by which one entry calls another.
type link struct {
	rock.Peer
	from *node
	to   *node
}

func (l link) Member() rock.Member { return rock.NewMember(l.to.name, l.to.zone, "", "") }

func (l link) check() error {
	l.from.world.mu.Lock()
	defer l.from.world.mu.Unlock()
	if l.from.world.cut[[2]string{l.from.zone, l.to.zone}] || l.from.world.nodes[l.to.name] != l.to {
		return rock.Fail("call", "peer "+l.to.name, rock.Unavailable, rock.NotRun)
	}
	return nil
}

func (l link) Changes(_ context.Context, after rock.Revision, limit int) ([]rock.Change, error) {
	if err := l.check(); err != nil {
		return nil, err
	}
	return l.to.books.Changes(after, limit)
}

func (l link) Snapshot(context.Context) (rock.Revision, []rock.Record, error) {
	if err := l.check(); err != nil {
		return 0, nil, err
	}
	return l.to.books.Snapshot()
}

// gate is the platform's table as the entry reaches it.
type gate struct {
	rock.Table
	node *node
}

// reach counts a call of the platform and fails if the zone is cut from it.
func (n *node) reach(ctx context.Context) error {
	n.world.mu.Lock()
	n.world.calls[time.Now().Unix()]++
	n.world.mu.Unlock()
	if n.world.apart(n.zone, platform) {
		if n.world.hang {
			<-ctx.Done()
		}
		return rock.Fail("call", "platform", rock.Unavailable, rock.NotRun)
	}
	return nil
}

func (g gate) Read(ctx context.Context, keys ...string) ([]rock.Row, error) {
	if err := g.node.reach(ctx); err != nil {
		return nil, err
	}
	rows, err := g.Table.Read(ctx, keys...)
	g.count(rows)
	return rows, err
}

func (g gate) Scan(ctx context.Context, prefix, after string, limit int) ([]rock.Row, error) {
	if err := g.node.reach(ctx); err != nil {
		return nil, err
	}
	rows, err := g.Table.Scan(ctx, prefix, after, limit)
	g.count(rows)
	return rows, err
}

// count adds the size of rows that the platform sent.
func (g gate) count(rows []rock.Row) {
	for _, r := range rows {
		g.node.world.bytes.Add(int64(len(r.Key()) + len(r.Value())))
	}
}

func (g gate) Commit(ctx context.Context, t rock.Transaction) error {
	if err := g.node.reach(ctx); err != nil {
		return err
	}
	return g.Table.Commit(ctx, t)
}

// objectGate is the platform's object store as the entry reaches it.
type objectGate struct {
	rock.ObjectStore
	node *node
}

func (g objectGate) Get(ctx context.Context, name string) ([]byte, error) {
	if err := g.node.reach(ctx); err != nil {
		return nil, err
	}
	return g.ObjectStore.Get(ctx, name)
}

func (g objectGate) Put(ctx context.Context, name string, data []byte) error {
	if err := g.node.reach(ctx); err != nil {
		return err
	}
	return g.ObjectStore.Put(ctx, name, data)
}

// startAll starts count entries in each zone.
func (w *world) startAll(count int, zones ...string) []*node {
	var all []*node
	for _, z := range zones {
		for i := range count {
			all = append(all, w.start(fmt.Sprintf("%s%d", z, i), z))
		}
	}
	return all
}

// running returns the entries that run, in order of name.
func (w *world) running() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.SortedFunc(maps.Values(w.nodes), func(a, b *node) int { return cmp.Compare(a.name, b.name) })
}
