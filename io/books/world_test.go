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

// world simulates a platform and entries in zones, which can be partitioned from
// each other. It runs on the fake clock of a synctest bubble.
type world struct {
	t     testing.TB
	depot *depot.Depot
	log   trace.Log
	// tune changes the settings of an entry before it starts.
	tune func(s *books.Settings)
	// hang makes calls of the platform across a partition hang until they time out,
	// instead of failing at once.
	hang bool
	// hints makes entries report their revisions to each other.
	hints bool

	mu   sync.Mutex
	down bool
	// cut holds the partitioned pairs of zones, or of a zone and the platform.
	cut        map[[2]string]bool
	entries    map[string]*testEntry
	acceptedAt map[rock.Revision]time.Time
	// bytes counts the bytes of the rows that the platform sent.
	bytes atomic.Int64
	// calls counts the calls of the platform by Unix second.
	calls map[int64]int
}

// platform is the name of the platform in partitions, beside the names of zones.
const platform = "platform"

func newWorld(t testing.TB) *world {
	return &world{
		t:          t,
		depot:      depot.New(depot.Settings{}),
		hints:      true,
		cut:        map[[2]string]bool{},
		entries:    map[string]*testEntry{},
		acceptedAt: map[rock.Revision]time.Time{},
		calls:      map[int64]int{},
	}
}

// setPartition cuts or restores the link between two zones, or between a zone and
// the platform.
func (w *world) setPartition(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = cut, cut
	w.traceReachability()
}

// setPlatformDown makes the platform unavailable to all entries, or available again.
func (w *world) setPlatformDown(down bool) {
	w.depot.SetFaults(depot.Faults{Down: down})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
	w.traceReachability()
}

// traceReachability adds an event to the trace for each entry that can no longer, or
// again, reach the platform or a peer that reaches it. The caller holds w.mu.
func (w *world) traceReachability() {
	for _, n := range w.entries {
		isolated := !w.canReachPlatform(n)
		if isolated == n.isolated {
			continue
		}
		n.isolated = isolated
		kind := trace.EntryHealed
		if isolated {
			kind = trace.EntryCut
		}
		w.log.Add(trace.Event{At: time.Now(), Kind: kind, Entry: n.name, Zone: n.zone})
	}
}

// canReachPlatform reports whether n reaches the platform or a peer that reaches it.
func (w *world) canReachPlatform(n *testEntry) bool {
	if w.down {
		return false
	}
	for _, o := range w.entries {
		if !w.cut[[2]string{o.zone, n.zone}] && !w.cut[[2]string{o.zone, platform}] {
			return true
		}
	}
	return false
}

// partitioned reports whether the link between a and b is cut.
func (w *world) partitioned(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]string{a, b}]
}

// start starts an entry without a configuration.
func (w *world) start(name, zone string) *testEntry {
	n := &testEntry{world: w, name: name, zone: zone}
	s := books.Settings{
		Table:   entryTable{Table: w.depot, entry: n},
		Objects: entryObjectStore{ObjectStore: w.depot, entry: n},
		Now:     time.Now,
		Seed:    uint64(len(name)) + uint64(name[len(name)-1]),
	}
	if w.tune != nil {
		w.tune(&s)
	}
	n.books = books.New(s)
	w.mu.Lock()
	w.entries[name] = n
	w.log.Add(trace.Event{At: time.Now(), Kind: trace.EntryStarted, Entry: name, Zone: zone})
	w.traceReachability()
	w.mu.Unlock()
	n.group = group.New(context.Background())
	n.group.Go("follow", n.books.Follow)
	n.group.Go("watch", n.watch)
	n.group.Go("heartbeats", n.sendHeartbeats)
	return n
}

// reachablePeers returns the other running entries that n can reach, by name.
func (w *world) reachablePeers(n *testEntry) []*testEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*testEntry
	for _, o := range w.entries {
		if o != n && !w.cut[[2]string{o.zone, n.zone}] {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b *testEntry) int { return cmp.Compare(a.name, b.name) })
	return found
}

// maxCallsPerSecond returns the greatest number of calls of the platform in a second
// since then.
func (w *world) maxCallsPerSecond(since time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	greatest := 0
	for second, n := range w.calls {
		if second >= since.Unix() {
			greatest = max(greatest, n)
		}
	}
	return greatest
}

// stop stops all entries.
func (w *world) stop() {
	for _, n := range w.running() {
		n.stop()
	}
}

// recordAccepted adds an accepted change to the trace, once for each revision.
func (w *world) recordAccepted(c rock.Change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.acceptedAt[c.Revision()]; !ok {
		w.acceptedAt[c.Revision()] = time.Now()
		w.log.Add(trace.Event{At: time.Now(), Kind: trace.ChangeAccepted, Revision: c.Revision(), ChangeID: c.ID()})
	}
}

// violations returns the cases in the trace where a change was not in force in time
// or an entry returned to an older configuration.
func (w *world) violations() []trace.Violation {
	outcomes, err := trace.Select("in_force_within", "never_older")
	if err != nil {
		w.t.Fatal(err)
	}
	return trace.Check(w.log.Events(), outcomes)
}

// testEntry is a running entry.
type testEntry struct {
	world *world
	name  string
	zone  string
	books *books.Books
	group *group.Group
	// isolated reports that neither the platform nor a peer that reaches it can be
	// reached.
	isolated bool
}

// stop stops the entry at once, as if its process were killed.
func (n *testEntry) stop() {
	n.world.mu.Lock()
	delete(n.world.entries, n.name)
	n.world.mu.Unlock()
	n.group.Stop()
	if err := n.group.Wait(); err != nil {
		n.world.t.Error(err)
	}
	n.world.log.Add(trace.Event{At: time.Now(), Kind: trace.EntryLost, Entry: n.name, Zone: n.zone})
}

// watch adds each configuration that is put in force to the trace.
func (n *testEntry) watch(ctx context.Context) error {
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

// sendHeartbeats reports the entry's revision to its peers every second.
func (n *testEntry) sendHeartbeats(ctx context.Context) error {
	for {
		if _, ok := n.books.Fleet(); ok && n.world.hints {
			for _, o := range n.world.reachablePeers(n) {
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

// change proposes a change through the entry and records it if it was accepted.
func (n *testEntry) change(id string, r rock.Record) (rock.Change, error) {
	c, err := n.books.Change(context.Background(), time.Now(), proposal(id, r))
	if err == nil {
		n.world.recordAccepted(c)
	}
	return c, err
}

// link is the connection by which one entry calls another.
type link struct {
	rock.Peer
	from *testEntry
	to   *testEntry
}

func (l link) Member() rock.Member { return rock.NewMember(l.to.name, l.to.zone, "", "") }

// check returns an error if the peer cannot be reached.
func (l link) check() error {
	l.from.world.mu.Lock()
	defer l.from.world.mu.Unlock()
	if l.from.world.cut[[2]string{l.from.zone, l.to.zone}] || l.from.world.entries[l.to.name] != l.to {
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

// entryTable is the platform's table as it can be reached from the entry.
type entryTable struct {
	rock.Table
	entry *testEntry
}

// callPlatform counts a call of the platform. It returns an error if the entry's zone
// is partitioned from the platform.
func (n *testEntry) callPlatform(ctx context.Context) error {
	n.world.mu.Lock()
	n.world.calls[time.Now().Unix()]++
	n.world.mu.Unlock()
	if n.world.partitioned(n.zone, platform) {
		if n.world.hang {
			<-ctx.Done()
		}
		return rock.Fail("call", "platform", rock.Unavailable, rock.NotRun)
	}
	return nil
}

func (t entryTable) Read(ctx context.Context, keys ...string) ([]rock.Row, error) {
	if err := t.entry.callPlatform(ctx); err != nil {
		return nil, err
	}
	rows, err := t.Table.Read(ctx, keys...)
	t.countBytes(rows)
	return rows, err
}

func (t entryTable) Scan(ctx context.Context, prefix, after string, limit int) ([]rock.Row, error) {
	if err := t.entry.callPlatform(ctx); err != nil {
		return nil, err
	}
	rows, err := t.Table.Scan(ctx, prefix, after, limit)
	t.countBytes(rows)
	return rows, err
}

// countBytes adds the size of rows that the platform sent.
func (t entryTable) countBytes(rows []rock.Row) {
	for _, r := range rows {
		t.entry.world.bytes.Add(int64(len(r.Key()) + len(r.Value())))
	}
}

func (t entryTable) Commit(ctx context.Context, x rock.Transaction) error {
	if err := t.entry.callPlatform(ctx); err != nil {
		return err
	}
	return t.Table.Commit(ctx, x)
}

// entryObjectStore is the platform's object store as it can be reached from the
// entry.
type entryObjectStore struct {
	rock.ObjectStore
	entry *testEntry
}

func (s entryObjectStore) Get(ctx context.Context, name string) ([]byte, error) {
	if err := s.entry.callPlatform(ctx); err != nil {
		return nil, err
	}
	return s.ObjectStore.Get(ctx, name)
}

func (s entryObjectStore) Put(ctx context.Context, name string, data []byte) error {
	if err := s.entry.callPlatform(ctx); err != nil {
		return err
	}
	return s.ObjectStore.Put(ctx, name, data)
}

// startAll starts count entries in each zone, named by their zone and a number.
func (w *world) startAll(count int, zones ...string) []*testEntry {
	var all []*testEntry
	for _, z := range zones {
		for i := range count {
			all = append(all, w.start(fmt.Sprintf("%s%d", z, i), z))
		}
	}
	return all
}

// running returns the running entries, sorted by name.
func (w *world) running() []*testEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.SortedFunc(maps.Values(w.entries), func(a, b *testEntry) int { return cmp.Compare(a.name, b.name) })
}
