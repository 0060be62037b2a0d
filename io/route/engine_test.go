package route_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/config"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/route"

	"gotest.tools/v3/assert"
)

// fixture is an engine of an entry in zone a, with workers in memory.
type fixture struct {
	engine *route.Engine
	work   *work.Fleet
	source *config.Source
	group  *group.Group
	pools  []rock.Pool
	hosts  []rock.HostSpec
}

// newFixture starts an engine on n hosts of pool tins with 4 slots each.
func newFixture(t *testing.T, n int, change func(s *route.Settings)) *fixture {
	t.Helper()
	b := &fixture{
		work:   work.NewFleet(),
		source: &config.Source{},
		group:  group.New(context.Background()),
		pools:  []rock.Pool{rock.NewPool("tins", "alpha", false)},
	}
	for i := range n {
		name := fmt.Sprintf("h%d", i)
		b.hosts = append(b.hosts, rock.HostSpec{Name: name, Zone: "a", Pool: "tins", Generation: 1, Slots: 4, Open: true})
		b.work.Add(work.New(work.Settings{Name: name, Slots: 4, Seed: uint64(i)}))
	}
	b.applyConfiguration(1)
	s := route.Settings{
		Member: rock.NewMember("e1", "a", "127.0.0.1:1", "i1"),
		Fleet:  b.source,
		Target: b.work,
		Random: rand.New(rand.NewPCG(1, 2)),
		Group:  b.group,
	}
	if change != nil {
		change(&s)
	}
	b.engine = route.New(s)
	t.Cleanup(func() {
		b.group.Stop()
		assert.NilError(t, b.group.Wait())
	})
	return b
}

// applyConfiguration publishes the fixture's pools and hosts as a new
// configuration.
func (b *fixture) applyConfiguration(revision rock.Revision) {
	var hosts []rock.Host
	for _, s := range b.hosts {
		hosts = append(hosts, rock.NewHost(s))
	}
	b.source.Set(config.New(revision, b.pools, hosts))
}

func request(id string, idempotent bool, timeout time.Duration, workMS int) rock.Request {
	return rock.NewRequest(rock.RequestSpec{
		ID: id, Organisation: "alpha", Pool: "tins", Idempotent: idempotent, Deadline: time.Now().Add(timeout),
		Payload: json.RawMessage(fmt.Sprintf(`{"work_ms":%d,"echo":%q,"key":%q}`, workMS, id, id)),
	})
}

// countStarts returns how often the workers started a task with the key.
func (b *fixture) countStarts(key string) int {
	n := 0
	for _, runs := range b.work.Runs() {
		for _, r := range runs {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

func TestDoReturnsCompleteAnswer(t *testing.T) {
	b := newFixture(t, 2, nil)
	a, err := b.engine.Do(context.Background(), request("r1", false, 10*time.Second, 1))
	assert.NilError(t, err)
	assert.Equal(t, a.RequestID(), "r1")
	assert.Equal(t, string(a.Payload()), `{"echo":"r1"}`)
	assert.Equal(t, b.countStarts("r1"), 1)
}

func TestDoUnderFaults(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		faults     work.Faults
		idempotent bool
		timeout    time.Duration
		want       rock.Verdict
		reason     rock.Reason
	}{
		"refused everywhere":      {work.Faults{Refuse: true}, false, 10 * time.Second, rock.NotRun, rock.Unavailable},
		"silent":                  {work.Faults{Silent: true}, false, 100 * time.Millisecond, rock.MayHaveRun, rock.DeadlineExceeded},
		"fails, not idempotent":   {work.Faults{FailFast: true}, false, 10 * time.Second, rock.MayHaveRun, rock.WorkFailed},
		"cut short, not repeated": {work.Faults{CutShort: true}, false, 10 * time.Second, rock.MayHaveRun, rock.Truncated},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 2, nil)
			for _, h := range b.hosts {
				b.work.Worker(h.Name).SetFaults(c.faults)
			}
			_, err := b.engine.Do(context.Background(), request("r1", c.idempotent, c.timeout, 1))
			assert.Equal(t, rock.VerdictOf(err), c.want)
			assert.Equal(t, rock.ReasonOf(err), c.reason)
			if c.want == rock.NotRun {
				assert.Equal(t, b.countStarts("r1"), 0)
			} else {
				assert.Equal(t, b.countStarts("r1"), 1)
			}
		})
	}
}

// TestIdempotentRequestIsRetriedOnAnotherHost checks that a failed idempotent
// request is retried on another host only once earlier successes have filled
// the retry budget.
func TestIdempotentRequestIsRetriedOnAnotherHost(t *testing.T) {
	b := newFixture(t, 2, nil)
	_, err := b.engine.Do(context.Background(), request("first", true, 10*time.Second, 0))
	assert.NilError(t, err)
	b.work.Worker("h0").SetFaults(work.Faults{CutShort: true})
	b.work.Worker("h1").SetFaults(work.Faults{CutShort: true})
	_, err = b.engine.Do(context.Background(), request("early", true, 10*time.Second, 0))
	assert.Equal(t, rock.ReasonOf(err), rock.Truncated, "the retry budget is still empty")
	b.work.Worker("h0").SetFaults(work.Faults{})
	b.work.Worker("h1").SetFaults(work.Faults{})
	for i := range 10 {
		_, err := b.engine.Do(context.Background(), request(fmt.Sprint("r", i), true, 10*time.Second, 0))
		assert.NilError(t, err)
	}
	b.work.Worker("h0").SetFaults(work.Faults{CutShort: true})
	for i := 0; ; i++ {
		key := fmt.Sprint("tried", i)
		a, err := b.engine.Do(context.Background(), request(key, true, 10*time.Second, 0))
		assert.NilError(t, err)
		assert.Equal(t, a.Host(), "h1")
		if b.countStarts(key) == 2 {
			break
		}
	}
}

func TestQueuedPastDeadlineIsNotRun(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1, nil)
	done := make(chan error, 4)
	for i := range 4 {
		b.group.Go("fill", func(ctx context.Context) error {
			_, err := b.engine.Do(ctx, request(fmt.Sprint("long", i), false, 10*time.Second, 500))
			done <- err
			return nil
		})
	}
	for b.engine.Loads(time.Now())[0].InFlight() < 4 {
		time.Sleep(time.Millisecond)
	}
	_, err := b.engine.Do(context.Background(), request("late", false, 150*time.Millisecond, 1))
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	assert.Equal(t, b.countStarts("late"), 0)
	for range 4 {
		assert.NilError(t, <-done)
	}
}

func TestDrainWaitsAndRefuses(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 2, nil)
	done := make(chan error, 1)
	b.group.Go("call", func(ctx context.Context) error {
		_, err := b.engine.Do(ctx, request("long", false, 10*time.Second, 200))
		done <- err
		return nil
	})
	for b.engine.Loads(time.Now())[0].InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	cut, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, b.engine.Drain(cut), 1)
	_, err := b.engine.Do(context.Background(), request("new", false, time.Second, 1))
	assert.Equal(t, rock.ReasonOf(err), rock.Leaving)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	assert.Equal(t, b.engine.Drain(context.Background()), 0)
	assert.NilError(t, <-done)
}

func TestClosedHostIsCounted(t *testing.T) {
	b := newFixture(t, 2, nil)
	b.hosts[0].Open = false
	b.applyConfiguration(2)
	assert.DeepEqual(t, b.engine.InFlight(time.Now()), map[string]int{"h0": 0})
	for i := range 10 {
		a, err := b.engine.Do(context.Background(), request(fmt.Sprint("r", i), false, 10*time.Second, 0))
		assert.NilError(t, err)
		assert.Equal(t, a.Host(), "h1")
	}
}
