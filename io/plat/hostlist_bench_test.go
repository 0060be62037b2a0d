package plat_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	rock "bramleyrock"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/plat"

	"gotest.tools/v3/assert"
)

// byteCounter counts the bytes of response bodies.
type byteCounter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c byteCounter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

// newCountingClient returns a client of a fake platform with a number of hosts,
// the fake platform, and the count of the bytes of its response bodies.
func newCountingClient(tb testing.TB, hosts int) (*plat.Client, *depot.Depot, *atomic.Int64) {
	tb.Helper()
	d := depot.New(depot.Settings{ReadsPerSecond: -1, WritesPerSecond: -1})
	for i := range hosts {
		d.AddHost(fmt.Sprintf("h%04d", i), "127.0.0.1:1")
	}
	sent := new(atomic.Int64)
	handler := d.Handler()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(byteCounter{w, sent}, r)
	}))
	tb.Cleanup(s.Close)
	c, err := plat.New(plat.Settings{BaseURL: s.URL})
	assert.NilError(tb, err)
	return c, d, sent
}

// BenchmarkHostList reads the full host list.
func BenchmarkHostList(b *testing.B) {
	for _, hosts := range []int{50, 500, 5500} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			c, _, sent := newCountingClient(b, hosts)
			for b.Loop() {
				list, err := c.List(context.Background())
				assert.NilError(b, err)
				assert.Equal(b, len(list), hosts)
			}
			b.ReportMetric(float64(sent.Load())/float64(b.N), "B/read")
		})
	}
}

// BenchmarkHostChanges reads the changes of 5,500 hosts. Before each read, a
// number of hosts change between having no lease and having one.
func BenchmarkHostChanges(b *testing.B) {
	for _, of := range []rock.HostChangeFilter{rock.StateAndLeaseChanges, rock.StateChanges} {
		for _, changing := range []int{0, 1, 55, 550} {
			b.Run(fmt.Sprintf("%s/%d", of, changing), func(b *testing.B) { benchChanges(b, of, changing) })
		}
	}
}

func benchChanges(b *testing.B, of rock.HostChangeFilter, changing int) {
	c, d, sent := newCountingClient(b, 5500)
	u, err := c.ChangesSince(context.Background(), of, "")
	assert.NilError(b, err)
	sent.Store(0)
	want := changing
	if of == rock.StateChanges {
		want = 0
	}
	for i := 0; b.Loop(); i++ {
		for h := range changing {
			d.SetLeases(fmt.Sprintf("h%04d", h), (i+1)%2)
		}
		u, err = c.ChangesSince(context.Background(), of, u.Next())
		assert.NilError(b, err)
		assert.Equal(b, len(u.Hosts()), want)
	}
	b.ReportMetric(float64(sent.Load())/float64(b.N), "B/read")
}
