package books_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/feed"
	"bramleyrock/io/books"
	"bramleyrock/io/fakes/depot"

	"gotest.tools/v3/assert"
)

// sizes are the numbers of hosts between which the growth of costs is compared.
var sizes = []int{50, 500, 5500}

// atSizes runs a benchmark once for each of sizes.
func atSizes(b *testing.B, run func(b *testing.B, hosts int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) { run(b, n) })
	}
}

// fleetRecords returns the records of 570 organisations, 27 pools with a budget
// each, and the given number of hosts.
func fleetRecords(hosts int) []rock.Record {
	var all []rock.Record
	for i := range 570 {
		all = append(all, organisation(fmt.Sprintf("o%d", i), 0, 40))
	}
	for i := range 27 {
		all = append(all,
			body(rock.KindPool, fmt.Sprintf("p%d", i), 1, 0, fmt.Sprintf(`{"organisation":"o%d"}`, i)),
			body(rock.KindBudget, fmt.Sprintf("p%d", i), 2, 0, fmt.Sprintf(`{"pool":"p%d","min_available":{"share":0.8},"max_away_per_zone":40}`, i)))
	}
	for i := range hosts {
		all = append(all, benchHost(i, 0))
	}
	return all
}

func benchHost(i int, version uint64) rock.Record {
	return body(rock.KindHost, fmt.Sprintf("h%d", i), 1, version, fmt.Sprintf(
		`{"address":"10.0.%d.%d:9000","zone":"z%d","rack":"r%d","pool":"p%d","generation":1,"slots":8,"open":true}`,
		i/250, i%250, i%8, i/4, i%27))
}

// populate creates the fleet's records in changes of 500 records each.
func populate(b *testing.B, d *depot.Depot, hosts int) *books.Books {
	s := settings(d)
	s.SnapshotEvery = 1
	x := books.New(s)
	all := fleetRecords(hosts)
	for i := 0; i < len(all); i += 500 {
		change(b, x, fmt.Sprintf("fill%d", i), all[i:min(i+500, len(all))]...)
	}
	return x
}

func unlimited() *depot.Depot {
	return depot.New(depot.Settings{WritesPerSecond: -1, ReadsPerSecond: -1})
}

// BenchmarkChange measures the time to commit a change of one host and put it in
// force at the same entry, and the platform's reads and writes.
func BenchmarkChange(b *testing.B) {
	atSizes(b, func(b *testing.B, hosts int) {
		d := unlimited()
		x := populate(b, d, hosts)
		version := uint64(x.Revision())
		if r, ok := x.Config().Record(rock.NewKey(rock.KindHost, "h7")); ok {
			version = r.Version()
		}
		before := d.Stats()
		b.ReportAllocs()
		n := 0
		for b.Loop() {
			n++
			c := change(b, x, fmt.Sprintf("c%d", n), benchHost(7, version))
			version = uint64(c.Revision())
		}
		after := d.Stats()
		b.ReportMetric(float64(after.Reads-before.Reads)/float64(n), "reads/op")
		b.ReportMetric(float64(after.Writes-before.Writes)/float64(n), "writes/op")
	})
}

// BenchmarkFollowChange measures the cost of one change at an entry that follows
// the feed: the size of the feed's row, and the time to decode and apply it.
func BenchmarkFollowChange(b *testing.B) {
	atSizes(b, func(b *testing.B, hosts int) {
		x := populate(b, unlimited(), hosts)
		config := x.Config()
		current, ok := config.Record(rock.NewKey(rock.KindHost, "h7"))
		assert.Assert(b, ok)
		bytes := 0
		b.ReportAllocs()
		for b.Loop() {
			r := config.Revision() + 1
			next := benchHost(7, uint64(r))
			row, err := json.Marshal(rock.NewChange("c1", r, time.Now(), "operator", "test",
				[]rock.Edit{rock.NewEdit(next.Key(), &current, &next)}))
			assert.NilError(b, err)
			bytes = len(row)
			var c rock.Change
			assert.NilError(b, json.Unmarshal(row, &c))
			config, err = config.Apply(c)
			assert.NilError(b, err)
			current = next
		}
		b.ReportMetric(float64(bytes), "row-bytes/op")
	})
}

// BenchmarkColdStart measures the time in which a new entry loads its
// configuration from a snapshot.
func BenchmarkColdStart(b *testing.B) {
	atSizes(b, func(b *testing.B, hosts int) {
		d := unlimited()
		x := populate(b, d, hosts)
		revision, err := x.Compact(context.Background(), rock.Transaction{})
		assert.NilError(b, err)
		object, err := d.Get(context.Background(), fmt.Sprintf("snapshot/%020d", revision))
		assert.NilError(b, err)
		before := d.Stats()
		n := 0
		for b.Loop() {
			n++
			fresh := books.New(settings(d))
			_, err := fresh.Change(context.Background(), time.Now(), rock.Proposal{
				ID: "c1", Who: "operator", DryRun: true, Records: []rock.Record{organisation("new", 0, 1)},
			})
			assert.NilError(b, err)
		}
		b.ReportMetric(float64(d.Stats().Reads-before.Reads)/float64(n), "reads/op")
		b.ReportMetric(float64(len(object)), "snapshot-bytes")
	})
}

// BenchmarkConfigMemory measures the heap that a configuration and its records
// occupy.
func BenchmarkConfigMemory(b *testing.B) {
	atSizes(b, func(b *testing.B, hosts int) {
		var before, after runtime.MemStats
		var config *feed.Config
		runtime.GC()
		runtime.ReadMemStats(&before)
		for b.Loop() {
			c, err := feed.Build(1, fleetRecords(hosts))
			assert.NilError(b, err)
			config = c
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
		runtime.KeepAlive(config)
	})
}
