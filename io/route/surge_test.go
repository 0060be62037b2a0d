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
	"bramleyrock/io/fakes/config"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/route"

	"gotest.tools/v3/assert"
)

const (
	surgePools  = 5
	surgeWork   = 50 * time.Millisecond
	surgeLength = 10 * time.Second
	// surgePoolCapacity is the throughput of the 24 slots of a pool, in requests
	// per second.
	surgePoolCapacity = 480
)

// newSurgeEngines returns two engines for five pools, each with three hosts of
// eight slots. They run in real time and in memory.
func newSurgeEngines(tb testing.TB) []*route.Engine {
	tb.Helper()
	workers := work.NewFleet()
	var pools []rock.Pool
	var hosts []rock.Host
	for p := range surgePools {
		pools = append(pools, rock.NewPool(fmt.Sprint("p", p), "", false))
		for h := range 3 {
			name := fmt.Sprintf("p%dh%d", p, h)
			hosts = append(hosts, rock.NewHost(rock.HostSpec{Name: name, Zone: "a", Pool: fmt.Sprint("p", p), Generation: 1, Slots: 8, Open: true}))
			workers.Add(work.New(work.Settings{Name: name, Slots: 8, ServiceTime: surgeWork, Retain: time.Second}))
		}
	}
	source := config.NewSource(config.New(1, pools, hosts))
	tasks := group.New(context.Background())
	tb.Cleanup(func() {
		tasks.Stop()
		assert.NilError(tb, tasks.Wait())
	})
	var engines []*route.Engine
	for e := range 2 {
		engines = append(engines, route.New(route.Settings{
			Member: rock.NewMember(fmt.Sprint("e", e), "a", "", "i1"), Fleet: source, Target: workers,
			Random: rand.New(rand.NewPCG(1, uint64(e))), Group: tasks,
		}))
	}
	return engines
}

// sendLoad sends requests to a pool at a mean rate per second for surgeLength.
// It returns the sorted delays, without the run time, of the requests that were
// answered in that time.
func sendLoad(engines []*route.Engine, pool int, rate float64) []time.Duration {
	random := rand.New(rand.NewPCG(9, uint64(pool)))
	var mu sync.Mutex
	var delays []time.Duration
	callers := group.New(context.Background())
	end := time.Now().Add(surgeLength)
	for next, n := time.Now(), 0; next.Before(end); n++ {
		time.Sleep(time.Until(next))
		arrived := next
		callers.Go("call", func(ctx context.Context) error {
			r := rock.NewRequest(rock.RequestSpec{ID: fmt.Sprintf("p%d.%d", pool, n), Pool: fmt.Sprint("p", pool), Idempotent: true, Deadline: arrived.Add(time.Second), Payload: []byte(`{}`)})
			if _, err := engines[n%len(engines)].Do(ctx, r); err == nil && time.Now().Before(end) {
				mu.Lock()
				defer mu.Unlock()
				delays = append(delays, time.Since(arrived)-surgeWork)
			}
			return nil
		})
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
	}
	_ = callers.Wait()
	slices.Sort(delays)
	return delays
}

// BenchmarkEngineSurge measures the delay in four pools while the fifth has its
// mean load and while it has five times that, with two engines in real time.
func BenchmarkEngineSurge(b *testing.B) {
	for b.Loop() {
		p99 := map[bool]time.Duration{}
		for _, surge := range []bool{false, true} {
			engines := newSurgeEngines(b)
			delays := make([][]time.Duration, surgePools)
			g := group.New(context.Background())
			for pool := range surgePools {
				rate := 0.6 * surgePoolCapacity
				if pool == 0 {
					rate = 0.5 * surgePoolCapacity
				}
				if pool == 0 && surge {
					rate *= 5
				}
				g.Go("load", func(context.Context) error {
					delays[pool] = sendLoad(engines, pool, rate)
					return nil
				})
			}
			assert.NilError(b, g.Wait())
			others := slices.Concat(delays[1:]...)
			slices.Sort(others)
			p99[surge] = others[len(others)*99/100]
			if surge {
				b.ReportMetric(float64(len(delays[0]))/surgeLength.Seconds()/surgePoolCapacity, "useful")
			}
		}
		b.ReportMetric(float64(p99[false].Microseconds())/1000, "calm_p99_ms")
		b.ReportMetric(float64(p99[true].Microseconds())/1000, "surge_p99_ms")
		b.ReportMetric(float64(p99[true])/float64(p99[false]), "ratio")
	}
}
