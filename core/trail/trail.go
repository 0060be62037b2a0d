package trail

import (
	"maps"
	"slices"

	"bramleyrock/core/works"
)

// CopyCount is the number of copies of each record. If a third of the parts of the
// platform's table is down, the probability that all copies are down is 1/27.
const CopyCount = 3

// Trail holds the records of all queues as an entry has read them. Use [New]
// to create one. The copies are numbered from 0.
type Trail struct {
	copies [CopyCount]copyView
	// found holds the pools with jobs of a queue that no record lists, by queue. A program
	// that kept no records left them.
	found map[string][]string
	// changes counts the changes of the copies.
	changes uint64
}

// New returns a Trail that has read none of the copies.
func New() *Trail {
	t := &Trail{found: map[string][]string{}}
	for i := range t.copies {
		t.copies[i].records = map[string]versionedRecord{}
	}
	return t
}

// copyView is one copy of all records, as an entry has read it.
type copyView struct {
	read    bool
	records map[string]versionedRecord
}

// versionedRecord is a record and the version of its row. The version of a record that
// was deleted is that of its deletion.
type versionedRecord struct {
	Record
	version uint64
	deleted bool
}

// Change is a record to be written, or to be deleted, on condition that its row has
// Version, which is 0 if the row must not exist.
type Change struct {
	Record  Record
	Version uint64
	Delete  bool
}

// Observe records a row of a copy. Older versions than observed before are ignored.
func (t *Trail) Observe(number int, r Record, version uint64) {
	t.observe(number, versionedRecord{r, version, false})
}

// ObserveDeleted records that the row of a queue's record was deleted in a copy.
func (t *Trail) ObserveDeleted(number int, queue string, version uint64) {
	t.observe(number, versionedRecord{Record{Queue: queue}, version, true})
}

func (t *Trail) observe(number int, r versionedRecord) {
	c := &t.copies[number]
	if r.version <= c.records[r.Queue].version {
		return
	}
	c.records[r.Queue] = r
	t.dropFound(r.Queue)
	t.changes++
}

// dropFound forgets the pools that were found with jobs of the queue and are listed now.
func (t *Trail) dropFound(queue string) {
	left := slices.DeleteFunc(t.found[queue], func(pool string) bool { return t.listed(queue, pool) })
	if t.found[queue] = left; len(left) == 0 {
		delete(t.found, queue)
	}
}

// ObserveJob records that a pool has a job of the queue.
func (t *Trail) ObserveJob(queue, pool string) {
	if !t.listed(queue, pool) && !slices.Contains(t.found[queue], pool) {
		t.found[queue] = append(t.found[queue], pool)
		t.changes++
	}
}

// listed reports whether all copies that were read list the pool for the queue.
func (t *Trail) listed(queue, pool string) bool {
	for i := range t.copies {
		if r := t.record(i, queue); t.copies[i].read && !r.Lists(pool) {
			return false
		}
	}
	return t.Known()
}

// ObserveCopy records that all rows of a copy were read and observed.
func (t *Trail) ObserveCopy(number int) {
	t.copies[number].read = true
	for _, queue := range slices.Collect(maps.Keys(t.found)) {
		t.dropFound(queue)
	}
	t.changes++
}

// ObserveGap records that changes of a copy may have been missed, so that it must be read
// again.
func (t *Trail) ObserveGap(number int) {
	t.copies[number].read = false
	t.changes++
}

// ChangeCount returns a number that grows whenever something is observed that was not
// known before.
func (t *Trail) ChangeCount() uint64 { return t.changes }

// UnreadCopies returns the copies that were not read.
func (t *Trail) UnreadCopies() []int {
	var list []int
	for i := range t.copies {
		if !t.copies[i].read {
			list = append(list, i)
		}
	}
	return list
}

// Known reports whether a copy was read, so that the pools of every queue whose jobs were
// accepted before are known.
func (t *Trail) Known() bool { return len(t.UnreadCopies()) < CopyCount }

// Settled reports whether all copies list the pool, so that jobs of the queue may be
// accepted in it.
func (t *Trail) Settled(queue, pool string) bool {
	listed := 0
	for i := range t.copies {
		r := t.copies[i].records[queue]
		if !t.copies[i].read || r.deleted || !r.Lists(pool) {
			continue
		}
		if r.Settled {
			return true
		}
		listed++
	}
	return listed == CopyCount
}

// Outdated reports whether a configuration with the given version that sends the queue to
// the pool is older than the queue's record, which does not list the pool.
func (t *Trail) Outdated(queue, pool string, config uint64) bool {
	for i := range t.copies {
		r, ok := t.copies[i].records[queue]
		if ok && !r.deleted && !r.Lists(pool) && config < r.Config {
			return true
		}
	}
	return false
}

// Others returns the pools besides the given one that may have jobs of the queue, in a
// fixed order.
func (t *Trail) Others(queue, pool string) []string {
	list := slices.Clone(t.found[queue])
	for i := range t.copies {
		r := t.record(i, queue)
		list = append(list, r.Pools()...)
	}
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(p string) bool { return p == pool })
}

// Changes returns the records to be written to a copy that was read, for a configuration
// with these queues and the given version.
func (t *Trail) Changes(number int, queues []works.Queue, config uint64) []Change {
	if !t.copies[number].read {
		return nil
	}
	var list []Change
	for i := range queues {
		q := &queues[i]
		if t.Outdated(q.Name, q.Pool, config) {
			continue
		}
		r := t.record(number, q.Name)
		next, changed := r.configured(q, config)
		for _, p := range t.Others(q.Name, q.Pool) {
			if !next.Lists(p) {
				next.Former, next.Settled, changed = append(slices.Clone(next.Former), p), false, true
			}
		}
		if !changed && !next.Settled && t.sameEverywhere(q.Name) {
			next.Settled, changed = true, true
		}
		if changed {
			next.Queue = q.Name
			list = append(list, Change{Record: next, Version: r.writeVersion()})
		}
	}
	return list
}

// record returns the record of a queue in a copy, which is empty if there is none.
func (t *Trail) record(number int, queue string) versionedRecord {
	r := t.copies[number].records[queue]
	if r.deleted {
		r.Record = Record{Queue: queue}
	}
	return r
}

// writeVersion returns the version that the record's row must have for a change.
func (r *versionedRecord) writeVersion() uint64 {
	if r.deleted {
		return 0
	}
	return r.version
}

// sameEverywhere reports whether all copies list the same pools for the queue.
func (t *Trail) sameEverywhere(queue string) bool {
	first := t.record(0, queue)
	for i := range t.copies {
		r := t.record(i, queue)
		if !t.copies[i].read || r.Pool != first.Pool || !slices.Equal(sorted(r.Former), sorted(first.Former)) {
			return false
		}
	}
	return true
}

// Removals returns the changes of a copy after which the pool is no longer listed for the
// queue, because it has no jobs of it any more. The pool to which the queue was sent last
// is removed together with the record, and only if the queue is no longer configured.
func (t *Trail) Removals(number int, queue, pool string, configured bool) []Change {
	r := t.record(number, queue)
	switch {
	case !t.copies[number].read:
	case slices.Contains(r.Former, pool):
		return []Change{{Record: r.without(pool), Version: r.version}}
	case r.Pool == pool && len(r.Former) == 0 && !configured:
		return []Change{{Record: r.Record, Version: r.version, Delete: true}}
	}
	return nil
}

// Removed returns the queues that have a record and are not among the configured ones, as they
// were last configured.
func (t *Trail) Removed(configured []works.Queue) []works.Queue {
	names := map[string]bool{}
	for i := range configured {
		names[configured[i].Name] = true
	}
	newest := map[string]Record{}
	for i := range t.copies {
		for name, r := range t.copies[i].records {
			if !names[name] && !r.deleted && r.Settings.Known() && r.Config >= newest[name].Config {
				newest[name] = r.Record
			}
		}
	}
	var list []works.Queue
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		r := newest[name]
		list = append(list, r.queue())
	}
	return list
}

// InUse returns the queues among the given ones that have a record, or jobs that no record
// covers. The others have no jobs, so that no record of them is needed.
func (t *Trail) InUse(queues []works.Queue) []works.Queue {
	var list []works.Queue
	for i := range queues {
		name := queues[i].Name
		used := len(t.found[name]) > 0
		for k := range t.copies {
			r, ok := t.copies[k].records[name]
			used = used || ok && !r.deleted
		}
		if used {
			list = append(list, queues[i])
		}
	}
	return list
}

// AllQueues returns the queues that have a record.
func (t *Trail) AllQueues() []string { return t.queues(func(*Record) bool { return true }) }

// Queues returns the queues that may have jobs in the pool.
func (t *Trail) Queues(pool string) []string {
	return t.queues(func(r *Record) bool { return r.Lists(pool) })
}

// queues returns the queues with a record that is chosen, in order.
func (t *Trail) queues(chosen func(*Record) bool) []string {
	var list []string
	for i := range t.copies {
		for name, r := range t.copies[i].records {
			if !r.deleted && chosen(&r.Record) {
				list = append(list, name)
			}
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// sorted returns the names in order.
func sorted(names []string) []string { return slices.Sorted(slices.Values(names)) }
