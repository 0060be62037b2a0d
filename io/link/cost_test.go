package link_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	rock "bramleyrock"

	"gotest.tools/v3/assert"
)

// countingListener counts the bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

// countingConn counts bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// randomLoads returns the loads of a zone: each pool's in-flight count wanders
// around half of its slots, and every tenth pool has a queue.
func randomLoads(source *rand.Rand, pools int) []rock.PoolLoad {
	var loads []rock.PoolLoad
	for i := range pools {
		busy, queued, wait := 12+source.IntN(5), 0, time.Duration(0)
		if i%10 == 9 {
			queued, wait = 20+source.IntN(40), time.Duration(200+source.IntN(400))*time.Millisecond
		}
		loads = append(loads, rock.NewPoolLoad(fmt.Sprintf("pool-%02d", i), busy, queued, 28, wait))
	}
	return loads
}

// BenchmarkHeartbeat measures one exchange of heartbeats over one link: the
// bytes in both directions, and the processor time of both ends together.
func BenchmarkHeartbeat(b *testing.B) {
	for _, pools := range []int{0, 5, 27} {
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) {
			var bytes atomic.Int64
			source := rand.New(rand.NewPCG(7, 7))
			there := startEntry(b, entrySpec{name: "e2", bytes: &bytes})
			here := startEntry(b, entrySpec{name: "e1", seeds: []string{there.member.Address()}})
			p := here.peer(b, "e2")
			there.peer(b, "e1")
			bytes.Store(0)
			cpu := processorTime(b)
			b.ResetTimer()
			for range b.N {
				there.setLoads(randomLoads(source, pools))
				here.setLoads(randomLoads(source, pools))
				_, err := p.SendHeartbeat(context.Background(), here.beat())
				assert.NilError(b, err)
			}
			b.StopTimer()
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/beat")
			b.ReportMetric(float64(processorTime(b)-cpu)/float64(b.N)/1000, "cpu-us/beat")
		})
	}
}

func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var u syscall.Rusage
	assert.NilError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
