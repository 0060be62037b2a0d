package site

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/trail"
	"bramleyrock/core/works"

	"github.com/fxamacker/cbor/v2"
)

const (
	// trailPart is the prefix of the parts of the cell table with the records of the
	// queues. No cell has such a name, because names of cells do not contain the
	// separator.
	trailPart = intakeSeparator + "queues"
	// queuePrefix is the prefix of the row names of the records.
	queuePrefix = "q/"
	// trailInterval is the time between checks whether records must be read or written.
	trailInterval = 200 * time.Millisecond
	// trailJitter bounds the delay, derived from the name of the entry, before an entry
	// writes the records of a new configuration. Other entries read them meanwhile.
	trailJitter = 1500 * time.Millisecond
	// maxTrailChanges bounds the records in one transaction. Each has a condition and a
	// row, and the platform's limit is 100.
	maxTrailChanges = 40
	// trailRounds bounds the attempts to write records: another entry may write them at
	// the same time, and a copy is marked as settled after it was written.
	trailRounds = 4
)

// queueTrail holds the records of the queues. It is safe for concurrent use, and its zero value
// has read none.
type queueTrail struct {
	mu    sync.Mutex
	trail *trail.Trail
	// writing is held while records are written, so that the calls of this entry do not
	// conflict.
	writing sync.Mutex
}

// with calls f with the records while it holds the lock.
func (q *queueTrail) with(f func(t *trail.Trail)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.trail == nil {
		q.trail = trail.New()
	}
	f(q.trail)
}

// trailCopyPart returns the name of the part with a copy of the records.
func trailCopyPart(number int) string { return trailPart + strconv.Itoa(number) }

// trailCopy returns the copy of the records that a part holds, and false if it holds none.
func trailCopy(part string) (number int, ok bool) {
	suffix, ok := strings.CutPrefix(part, trailPart)
	number, err := strconv.Atoi(suffix)
	return number, ok && err == nil && number >= 0 && number < trail.CopyCount
}

// recordName returns the name of the row of a queue's record. Names of queues may be
// longer than those of rows.
func recordName(queue string) string {
	sum := sha256.Sum256([]byte(queue))
	return queuePrefix + hex.EncodeToString(sum[:16])
}

// applyTrailRow records a row with a queue's record.
func (s *Site) applyTrailRow(number int, r rock.Row) {
	if !r.Exists() {
		s.trail.with(func(t *trail.Trail) { s.observeDeleted(t, number, r) })
		return
	}
	var record trail.Record
	if err := cbor.Unmarshal(r.Value(), &record); err != nil {
		s.log.WithError(err).WithField("row", r.Key()).Error("Record of a queue cannot be read.")
		return
	}
	s.trail.with(func(t *trail.Trail) { t.Observe(number, record, r.Version()) })
	s.view.addCells(record.Pools())
}

// observeDeleted records that the row of some queue's record was deleted.
func (s *Site) observeDeleted(t *trail.Trail, number int, r rock.Row) {
	_, name := splitKey(r.Key())
	for _, queue := range t.AllQueues() {
		if recordName(queue) == name {
			t.ObserveDeleted(number, queue, r.Version())
		}
	}
}

// readTrail reads a copy of the records. It returns the version that was read.
func (s *Site) readTrail(ctx context.Context, number int) (uint64, error) {
	c, err := s.settings.Store.List(ctx, cellTable, trailCopyPart(number), "", "")
	if err != nil {
		return 0, err
	}
	for _, r := range c.Rows {
		s.applyTrailRow(number, r)
	}
	s.trail.with(func(t *trail.Trail) { t.ObserveCopy(number) })
	s.view.notify()
	return c.Version, nil
}

// forEachCopy calls f for the copies in parallel.
func forEachCopy(ctx context.Context, copies []int, f func(ctx context.Context, number int)) {
	g := group.New(ctx)
	for _, c := range copies {
		g.Go("queue records", func(ctx context.Context) error {
			f(ctx, c)
			return nil
		})
	}
	_ = g.Wait() // f returns no error
}

// readUnreadTrail reads the copies of the records that were not read yet.
func (s *Site) readUnreadTrail(ctx context.Context) {
	var unread []int
	s.trail.with(func(t *trail.Trail) { unread = t.UnreadCopies() })
	forEachCopy(ctx, unread, func(ctx context.Context, number int) {
		if _, err := s.readTrail(ctx, number); err != nil {
			s.log.WithError(err).WithField("copy", number).Info("Records of queues cannot be read.")
		}
	})
}

// allCopies lists all copies of the records.
var allCopies = func() []int {
	list := make([]int, trail.CopyCount)
	for i := range list {
		list[i] = i
	}
	return list
}()

// recordQueues writes the records that a configuration with these queues needs. It
// returns when they are written or a copy cannot be written.
func (s *Site) recordQueues(ctx context.Context, queues []works.Queue, config uint64) {
	s.trail.writing.Lock()
	defer s.trail.writing.Unlock()
	for range trailRounds {
		s.readUnreadTrail(ctx)
		pending := false
		forEachCopy(ctx, allCopies, func(ctx context.Context, number int) {
			var changes []trail.Change
			s.trail.with(func(t *trail.Trail) { changes = t.Changes(number, queues, config) })
			s.writeTrail(ctx, number, changes)
		})
		s.trail.with(func(t *trail.Trail) {
			for _, c := range allCopies {
				pending = pending || len(t.Changes(c, queues, config)) > 0
			}
		})
		if !pending || ctx.Err() != nil {
			return
		}
	}
}

// writeTrail writes changed records to a copy, and reads the copy again if that fails.
func (s *Site) writeTrail(ctx context.Context, number int, changes []trail.Change) {
	part := trailCopyPart(number)
	for chunk := range slices.Chunk(changes, maxTrailChanges) {
		var t rock.Transaction
		for _, c := range chunk {
			k := key(cellTable, part, recordName(c.Record.Queue))
			t.Require(k, c.Version)
			if c.Delete {
				t.Delete(k)
				continue
			}
			value, err := encode(c.Record)
			if err != nil {
				s.log.WithError(err).Error("Record of a queue cannot be encoded.")
				return
			}
			t.Put(k, value)
		}
		version, err := s.settings.Store.Apply(ctx, t)
		s.recordPartAnswer(part, err)
		if err != nil {
			s.log.WithError(err).WithField("copy", number).Info("Records of queues are not written.")
			_, _ = s.readTrail(ctx, number) // it is read again before the next attempt
			return
		}
		s.trail.with(func(t *trail.Trail) {
			for _, c := range chunk {
				if c.Delete {
					t.ObserveDeleted(number, c.Record.Queue, version)
				} else {
					t.Observe(number, c.Record, version)
				}
			}
		})
		s.log.WithField("copy", number).WithField("queues", len(chunk)).WithField("row_version", version).Info("Records of queues are written.")
	}
}

// keepTrail reads the records of the queues and writes those that a new configuration changes,
// until ctx ends. The record of a queue without jobs is written when the first is submitted: a
// configuration may have thousands of queues.
func (s *Site) keepTrail(ctx context.Context) error {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s.self.Name)) // never fails
	jitter := time.Duration(h.Sum32()%1000) * trailJitter / 1000
	var complete trailState
	for {
		if err := sleep(ctx, trailInterval); err != nil {
			return err
		}
		if s.trailState() == complete {
			continue
		}
		if s.trailIncomplete() {
			if err := sleep(ctx, jitter); err != nil {
				return err
			}
		}
		state := s.trailState()
		if s.trailIncomplete() {
			queues, config := s.usedQueues()
			s.recordQueues(ctx, queues, config)
			continue
		}
		complete = state
	}
}

// usedQueues returns the configured queues that are in use, and the version of the
// configuration's row.
func (s *Site) usedQueues() ([]works.Queue, uint64) {
	queues, config := s.view.queues()
	s.trail.with(func(t *trail.Trail) { queues = t.InUse(queues) })
	return queues, config
}

// trailState identifies a configuration and what is known of the records.
type trailState struct {
	config  uint64
	changes uint64
}

func (s *Site) trailState() trailState {
	_, config := s.view.queues()
	state := trailState{config: config}
	s.trail.with(func(t *trail.Trail) { state.changes = t.ChangeCount() })
	return state
}

// trailIncomplete reports whether records must be read or written.
func (s *Site) trailIncomplete() bool {
	queues, config := s.usedQueues()
	incomplete := false
	s.trail.with(func(t *trail.Trail) {
		incomplete = len(t.UnreadCopies()) > 0
		for _, c := range allCopies {
			incomplete = incomplete || len(t.Changes(c, queues, config)) > 0
		}
	})
	return incomplete
}

// trailTimeout bounds how long a submission waits until the queue's record is written, out
// of the 3 s that callers wait.
const trailTimeout = 1200 * time.Millisecond

// awaitRecord returns once jobs of the queue may be accepted in its pool, and the other
// cells that may have jobs of the queue. It fails with the verdict [rock.NotRun] if
// that is not known in time.
func (s *Site) awaitRecord(ctx context.Context, q works.Queue) (others []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, trailTimeout)
	defer cancel()
	for requested := false; ; requested = true {
		settled := false
		s.trail.with(func(t *trail.Trail) {
			settled, others = t.Settled(q.Name, q.Pool), cellsOf(t.Others(q.Name, q.Pool))
		})
		if settled {
			return others, nil
		}
		config, outdated := s.view.versionWith(q), false
		s.trail.with(func(t *trail.Trail) { outdated = t.Outdated(q.Name, q.Pool, config) })
		switch {
		case outdated:
			return nil, rock.Fail("submit", "queue "+q.Name, rock.Unavailable, rock.NotRun).Becausef("a newer configuration sends the queue to another pool than %q", q.Pool)
		case !requested:
			s.work.Go("record queue", func(ctx context.Context) error {
				ctx, cancel := context.WithTimeout(ctx, trailTimeout)
				defer cancel()
				s.recordQueues(ctx, []works.Queue{q}, config)
				return nil
			})
		}
		if sleep(ctx, submitRetryDelay) != nil {
			return nil, rock.Fail("submit", "queue "+q.Name, rock.Unavailable, rock.NotRun).Becausef("the record of the queue is not stored in time")
		}
	}
}

// refreshRecord reads the record of a queue from a copy that can be read. A pool that may be
// used is listed by all copies. It fails if no copy can be read.
func (s *Site) refreshRecord(ctx context.Context, queue string) error {
	name := recordName(queue)
	var failed error
	for _, number := range allCopies {
		c, err := s.settings.Store.List(ctx, cellTable, trailCopyPart(number), name, name+"\x00")
		if err != nil {
			failed = err
			continue
		}
		for _, r := range c.Rows {
			s.applyTrailRow(number, r)
		}
		return nil
	}
	return failed
}

// otherCells returns the cells besides that of the queue's pool that may have jobs of the
// queue, and whether they are known.
func (s *Site) otherCells(q works.Queue) (cells []string, known bool) {
	s.trail.with(func(t *trail.Trail) { cells, known = cellsOf(t.Others(q.Name, q.Pool)), t.Known() })
	return cells, known
}

// cellsOf returns the cells of pools.
func cellsOf(pools []string) []string {
	cells := make([]string, 0, len(pools))
	for _, p := range pools {
		cells = append(cells, cellOf(p))
	}
	return cells
}
