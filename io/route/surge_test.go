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
	// surgeHolds is what the 24 slots of a pool can do, in requests a second.
	surgeHolds = 480
)

// surgeSite is two engines on five pools of three hosts with eight slots, in
// real time and memory.
func surgeSite(tb testing.TB) []*route.Engine {
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
	duties := group.New(context.Background())
	tb.Cleanup(func() {
		duties.Stop()
		assert.NilError(tb, duties.Wait())
	})
	var engines []*route.Engine
	for e := range 2 {
		engines = append(engines, route.New(route.Settings{
			Member: rock.NewMember(fmt.Sprint("e", e), "a", "", "i1"), Fleet: source, Target: workers,
			Random: rand.New(rand.NewPCG(1, uint64(e))), Group: duties,
		}))
	}
	return engines
}

// load sends requests to a pool at a rate and returns the delays of those that
// were answered before the end, in order.
func load(engines []*route.Engine, pool int, rate float64) []time.Duration {
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

// BenchmarkEngineSurge measures the delay in four pools while a fifth is calm
// and while it gets five times its mean, through two engines in real time.
func BenchmarkEngineSurge(b *testing.B) {
	for b.Loop() {
		p99 := map[bool]time.Duration{}
		for _, surge := range []bool{false, true} {
			engines := surgeSite(b)
			delays := make([][]time.Duration, surgePools)
			g := group.New(context.Background())
			for pool := range surgePools {
				rate := 0.6 * surgeHolds
				if pool == 0 {
					rate = 0.5 * surgeHolds
				}
				if pool == 0 && surge {
					rate *= 5
				}
				g.Go("load", func(context.Context) error {
					delays[pool] = load(engines, pool, rate)
					return nil
				})
			}
			assert.NilError(b, g.Wait())
			others := slices.Concat(delays[1:]...)
			slices.Sort(others)
			p99[surge] = others[len(others)*99/100]
			if surge {
				b.ReportMetric(float64(len(delays[0]))/surgeLength.Seconds()/surgeHolds, "useful")
			}
		}
		b.ReportMetric(float64(p99[false].Microseconds())/1000, "calm_p99_ms")
		b.ReportMetric(float64(p99[true].Microseconds())/1000, "surge_p99_ms")
		b.ReportMetric(float64(p99[true])/float64(p99[false]), "ratio")
	}
}
