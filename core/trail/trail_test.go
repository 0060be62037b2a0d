package trail_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"bramleyrock/core/trail"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// table is the table with the copies of the records.
type table struct {
	rows    [trail.CopyCount]map[string]trail.Record
	vers    [trail.CopyCount]map[string]uint64
	version uint64
}

func newTable() *table {
	d := &table{}
	for i := range d.rows {
		d.rows[i], d.vers[i] = map[string]trail.Record{}, map[string]uint64{}
	}
	return d
}

// read makes an entry read a copy.
func (d *table) read(t *trail.Trail, number int) {
	for q, r := range d.rows[number] {
		t.Observe(number, r, d.vers[number][q])
	}
	t.ObserveCopy(number)
}

// write makes the changes of an entry to a copy, if their conditions hold.
func (d *table) write(t *trail.Trail, number int, changes []trail.Change) {
	for _, c := range changes {
		if d.vers[number][c.Record.Queue] != c.Version {
			d.read(t, number)
			return
		}
	}
	for _, c := range changes {
		d.version++
		if c.Delete {
			delete(d.rows[number], c.Record.Queue)
			delete(d.vers[number], c.Record.Queue)
			t.ObserveDeleted(number, c.Record.Queue, d.version)
			continue
		}
		d.rows[number][c.Record.Queue], d.vers[number][c.Record.Queue] = c.Record, d.version
		t.Observe(number, c.Record, d.version)
	}
}

// settle makes an entry read all copies and write what its configuration needs.
func (d *table) settle(t *trail.Trail, queues []works.Queue, config uint64) {
	for range 3 {
		for c := range trail.CopyCount {
			d.read(t, c)
			d.write(t, c, t.Changes(c, queues, config))
		}
	}
}

func sendTo(pool string) []works.Queue { return []works.Queue{{Name: "q", Pool: pool}} }

// TestPoolMayBeUsedOnceAllCopiesListIt guards against jobs that another entry, which reads only
// one copy, would not find.
func TestPoolMayBeUsedOnceAllCopiesListIt(t *testing.T) {
	d, a := newTable(), trail.New()
	assert.Assert(t, !a.Known() && !a.Settled("q", "tins"))
	for c := range trail.CopyCount {
		assert.Assert(t, !a.Settled("q", "tins"), "%d copies are written", c)
		d.read(a, c)
		d.write(a, c, a.Changes(c, sendTo("tins"), 1))
	}
	assert.Assert(t, a.Settled("q", "tins"))
	b := trail.New()
	d.read(b, 1)
	assert.Assert(t, !b.Settled("q", "tins"), "the copy is not marked as settled")
	d.settle(a, sendTo("tins"), 1)
	for c := range trail.CopyCount {
		b = trail.New()
		d.read(b, c)
		assert.Assert(t, b.Settled("q", "tins"), "copy %d proves it", c)
		assert.Equal(t, len(b.Changes(c, sendTo("tins"), 9)), 0, "a later configuration changes nothing")
	}
}

// TestFormerPoolsStayListed guards against a pool with jobs that is forgotten when its queue
// is sent to other pools and back.
func TestFormerPoolsStayListed(t *testing.T) {
	d, a := newTable(), trail.New()
	for i, pool := range []string{"tins", "lids", "jars", "lids"} {
		d.settle(a, sendTo(pool), uint64(i+1))
	}
	for c := range trail.CopyCount {
		b := trail.New()
		d.read(b, c)
		assert.Assert(t, b.Settled("q", "lids"))
		assert.DeepEqual(t, b.Others("q", "lids"), []string{"jars", "tins"})
		assert.DeepEqual(t, b.Queues("tins"), []string{"q"})
	}
	for c := range trail.CopyCount {
		d.write(a, c, a.Removals(c, "q", "tins", true))
		assert.Equal(t, len(a.Removals(c, "q", "lids", true)), 0, "the queue is sent to it")
	}
	assert.DeepEqual(t, a.Others("q", "lids"), []string{"jars"})
	for c := range trail.CopyCount {
		d.write(a, c, a.Removals(c, "q", "jars", false))
		d.write(a, c, a.Removals(c, "q", "lids", false))
		assert.Equal(t, len(d.rows[c]), 0, "nothing is left of a queue that is not configured")
	}
	d.settle(a, sendTo("jars"), 9)
	assert.Assert(t, a.Settled("q", "jars"), "the queue is configured again")
}

// TestEntryWithAnOlderConfigurationAddsNoPool guards against jobs that are accepted in a pool
// of which the entries with the newer configuration do not know.
func TestEntryWithAnOlderConfigurationAddsNoPool(t *testing.T) {
	d, newer, older := newTable(), trail.New(), trail.New()
	d.settle(newer, sendTo("lids"), 2)
	d.settle(older, sendTo("tins"), 1)
	assert.Assert(t, older.Outdated("q", "tins", 1) && !older.Settled("q", "tins"))
	assert.DeepEqual(t, newer.Others("q", "lids"), []string{})
	assert.Assert(t, !older.Outdated("q", "lids", 2))
}

// TestJobsOfAnOlderProgramAreFound guards against pools with jobs that no record lists, since
// the program that accepted the jobs kept no records.
func TestJobsOfAnOlderProgramAreFound(t *testing.T) {
	d, a := newTable(), trail.New()
	assert.Equal(t, len(a.InUse(sendTo("lids"))), 0)
	a.ObserveJob("q", "tins")
	assert.Equal(t, len(a.InUse(sendTo("lids"))), 1)
	assert.DeepEqual(t, a.Others("q", "lids"), []string{"tins"})
	d.settle(a, sendTo("lids"), 1)
	b := trail.New()
	d.read(b, 2)
	assert.DeepEqual(t, b.Others("q", "lids"), []string{"tins"})
	assert.Assert(t, b.Settled("q", "lids"))
	for c := range trail.CopyCount {
		d.write(a, c, a.Removals(c, "q", "tins", true))
	}
	d.settle(a, sendTo("lids"), 1)
	assert.Equal(t, len(a.Others("q", "lids")), 0, "a pool that was removed does not come back")
}

// TestEveryEntrySeesThePoolsThatAnotherUses plays entries with different configurations, each
// of which sends the queue to another pool. They read and write copies in any order. An entry
// that may accept jobs must know all pools in which entries with older configurations have
// accepted jobs, or it would accept one of them again.
func TestEveryEntrySeesThePoolsThatAnotherUses(t *testing.T) {
	accepted := 0
	for seed := range uint64(500) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			d := newTable()
			poolOf := func(config uint64) string { return fmt.Sprint("pool ", config) }
			used := map[uint64]bool{} // configurations with which jobs were accepted
			entries, configs := make([]*trail.Trail, 4), make([]uint64, 4)
			for i := range entries {
				entries[i] = trail.New()
			}
			newest := uint64(1)
			for range 200 {
				i := r.IntN(len(entries))
				e, queues := entries[i], sendTo(poolOf(configs[i]))
				switch c := r.IntN(trail.CopyCount); r.IntN(12) {
				case 0:
					newest += uint64(r.IntN(2))
					configs[i] = max(configs[i], newest-uint64(r.IntN(2)))
				case 1: // a new process in its place
					entries[i], configs[i] = trail.New(), max(1, newest-uint64(r.IntN(2)))
				case 2, 3:
					d.read(e, c)
				default:
					if configs[i] > 0 {
						d.write(e, c, e.Changes(c, queues, configs[i]))
					}
				}
				for j, e := range entries {
					if configs[j] == 0 || !e.Settled("q", poolOf(configs[j])) {
						continue
					}
					used[configs[j]] = true
					accepted++
					for other := range used {
						if other < configs[j] {
							assert.Assert(t, slices.Contains(e.Others("q", poolOf(configs[j])), poolOf(other)), "jobs of configuration %d are not found with %d", other, configs[j])
						}
					}
				}
			}
		})
	}
	assert.Assert(t, accepted > 0)
}
