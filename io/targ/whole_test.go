package targ_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/trace"
	"bramleyrock/io/fakes/relay"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/targ"

	"gotest.tools/v3/assert"
)

// runner runs a task and returns its answer.
type runner func(ctx context.Context, host rock.Host, task rock.Task) (rock.Answer, error)

// bench is a worker behind a relay, and the trace of what is run on it.
type bench struct {
	worker *work.Worker
	relay  *relay.Relay
	host   rock.Host
	log    trace.Log
	begun  atomic.Int64
	// refusals holds why and when requests were refused, by id.
	refusals sync.Map
}

// newBench returns a worker of 64 slots behind a relay.
func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{worker: work.New(work.Settings{Name: "h1", Slots: 64, Seed: 1})}
	server := httptest.NewServer(b.worker.Handler())
	t.Cleanup(server.Close)
	r, err := relay.New(strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	b.relay, b.host = r, hostAt(r.Address())
	return b
}

// load runs callers side by side, each of which sends requests one after
// another, and records what they were told.
func (b *bench) load(t *testing.T, run runner, callers, requests int, limit time.Duration) {
	t.Helper()
	g := group.New(context.Background())
	for i := range callers {
		g.Go("caller", func(ctx context.Context) error {
			for j := range requests {
				b.one(ctx, run, fmt.Sprintf("r%d.%d", i, j), limit)
			}
			return nil
		})
	}
	assert.NilError(t, g.Wait())
}

// one runs one request that is not idempotent.
func (b *bench) one(ctx context.Context, run runner, id string, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	task := taskOf(id+".t", fmt.Sprintf(`{"echo":%q,"work_ms":5,"key":%q}`, id, id))
	event := trace.Event{At: time.Now(), Kind: trace.Arrived, Entry: "e1", RequestID: id, Pool: "tins"}
	b.log.Add(event)
	event.Kind, event.TaskID, event.Host = trace.Sent, task.ID(), "h1"
	b.log.Add(event)
	b.begun.Add(1)
	a, err := run(ctx, b.host, task)
	end := trace.Event{At: time.Now(), Kind: trace.Answered, Entry: "e1", RequestID: id, Digest: trace.Digest(a.Payload())}
	if err != nil {
		b.refusals.Store(id, fmt.Sprintf("after %v: %v", end.At.Sub(event.At).Round(time.Millisecond), err))
		end.Kind, end.Verdict, end.Reason = trace.Refused, rock.VerdictOf(err), rock.ReasonOf(err)
	}
	b.log.Add(end)
}

// judge returns what the trace breaks, and the number of whole answers.
func (b *bench) judge() ([]trace.Violation, int) {
	b.log.Add(work.Events(b.worker.Runs())...)
	events := b.log.Events()
	answers := 0
	for _, e := range events {
		if e.Kind == trace.Answered {
			answers++
		}
	}
	return trace.Check(events, trace.Outcomes()), answers
}

// await waits until n requests were begun.
func (b *bench) await(n int64) {
	for b.begun.Load() < n {
		time.Sleep(time.Millisecond)
	}
}

// linkFault is a fault that is made while a load runs, and taken away again.
type linkFault struct {
	make func(b *bench)
	// all is true if every request must be answered in spite of the fault.
	all bool
}

func linkFaults() map[string]linkFault {
	return map[string]linkFault{
		"none": {func(*bench) {}, true},
		"silent for good": {func(b *bench) {
			for i := range int64(5) {
				b.await(40 * i)
				b.relay.Silence()
			}
		}, true},
		"cut": {func(b *bench) {
			for i := range int64(5) {
				b.await(40 * i)
				b.relay.Cut()
			}
		}, true},
		"answers cut short": {func(b *bench) {
			b.relay.CutAfter(relay.Answers, 150)
			b.relay.Cut()
			b.await(100)
			b.relay.CutAfter(relay.Answers, -1)
		}, false},
		"calls cut short": {func(b *bench) {
			b.relay.CutAfter(relay.Calls, 100)
			b.relay.Cut()
			b.await(100)
			b.relay.CutAfter(relay.Calls, -1)
		}, false},
		"late": {func(b *bench) {
			b.relay.Set(relay.Answers, relay.Stall)
			time.Sleep(4 * probe)
			b.relay.Set(relay.Answers, relay.Pass)
		}, true},
		"duplicated":          {func(b *bench) { b.relay.Set(relay.Answers, relay.Double) }, true},
		"out of order":        {func(b *bench) { b.worker.SetFaults(work.Faults{Swap: true, Share: 0.5}) }, true},
		"cut short by target": {func(b *bench) { b.worker.SetFaults(work.Faults{CutShort: true, Share: 0.5}) }, true},
		"late by target":      {func(b *bench) { b.worker.SetFaults(work.Faults{LateMS: 200, Share: 0.2}) }, true},
		"lost track by target": {func(b *bench) {
			b.worker.SetFaults(work.Faults{LostTrack: true, Share: 0.2})
		}, true},
	}
}

const (
	loadCallers  = 20
	loadRequests = 10
	loadLimit    = 20 * time.Second
)

func TestWholeAnswersThroughLinkFaults(t *testing.T) {
	for name, fault := range linkFaults() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			c := targ.New(targ.Settings{Probe: probe, CallTimeout: 4 * probe, Probes: 10})
			defer c.Close()
			g := group.New(context.Background())
			g.Go("fault", func(context.Context) error {
				fault.make(b)
				return nil
			})
			b.load(t, c.Run, loadCallers, loadRequests, loadLimit)
			assert.NilError(t, g.Wait())
			found, answers := b.judge()
			for _, v := range found {
				t.Error(v)
			}
			t.Logf("%d of %d answered whole", answers, loadCallers*loadRequests)
			b.refusals.Range(func(id, why any) bool {
				t.Logf("%v refused %v", id, why)
				return true
			})
			if fault.all {
				assert.Equal(t, answers, loadCallers*loadRequests)
			}
		})
	}
}

// plain runs a task as a client without identity, digest or questions would.
func plain(ctx context.Context, host rock.Host, task rock.Task) (rock.Answer, error) {
	body, err := json.Marshal(targ.FromTask(task))
	if err != nil {
		return rock.Answer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Address()+"/run", bytes.NewReader(body))
	if err != nil {
		return rock.Answer{}, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return rock.Answer{}, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return rock.NewAnswer(task.ID(), host.Name(), answer), err
}

// TestPlainClientFails shows what the faults do to a client without the
// mechanisms: it hands out other requests' answers or gets none.
func TestPlainClientFails(t *testing.T) {
	tests := map[string]struct{ broken, missing bool }{
		"out of order":         {broken: true},
		"cut short by target":  {missing: true},
		"lost track by target": {missing: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			linkFaults()[name].make(b)
			b.load(t, plain, 25, 2, time.Second)
			found, answers := b.judge()
			assert.Equal(t, len(found) > 0, test.broken)
			assert.Equal(t, answers < 50, test.missing)
		})
	}
}
