package targ_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/targ"

	"gotest.tools/v3/assert"
)

var _ rock.Target = (*targ.Client)(nil)

// probe is the interval of questions in the tests.
const probe = 50 * time.Millisecond

// serve returns a worker with its host.
func serve(t *testing.T, s work.Settings) (*work.Worker, rock.Host) {
	t.Helper()
	s.Name = "h1"
	w := work.New(s)
	server := httptest.NewServer(w.Handler())
	t.Cleanup(server.Close)
	return w, hostAt(strings.TrimPrefix(server.URL, "http://"))
}

// hostAt returns the host with its target at the address.
func hostAt(address string) rock.Host {
	return rock.NewHost(rock.HostSpec{Name: "h1", Address: address, Pool: "tins", Generation: 1, Slots: 8, Open: true})
}

// taskOf returns a task of pool tins with a lease of ten seconds.
func taskOf(id, payload string) rock.Task {
	return rock.NewTask(id, "tins", 1, 10*time.Second, time.Time{}, json.RawMessage(payload))
}

func TestFaultsOfRun(t *testing.T) {
	const echo = `{"echo":7}`
	tests := map[string]struct {
		faults  work.Faults
		payload string
		answer  string
		reason  rock.Reason
		verdict rock.Verdict
		started int
	}{
		"none":        {answer: echo, verdict: rock.Ran, started: 1},
		"long work":   {payload: `{"echo":7,"work_ms":300}`, answer: echo, verdict: rock.Ran, started: 1},
		"refused":     {faults: work.Faults{Refuse: true}, reason: rock.Unavailable, verdict: rock.NotRun},
		"fails fast":  {faults: work.Faults{FailFast: true}, reason: rock.WorkFailed, verdict: rock.MayHaveRun, started: 1},
		"cut short":   {faults: work.Faults{CutShort: true}, answer: echo, verdict: rock.Ran, started: 1},
		"swapped":     {faults: work.Faults{Swap: true}, answer: echo, verdict: rock.Ran, started: 1},
		"late":        {faults: work.Faults{LateMS: 300}, answer: echo, verdict: rock.Ran, started: 1},
		"lost track":  {faults: work.Faults{LostTrack: true}, answer: echo, verdict: rock.Ran, started: 1},
		"silent":      {faults: work.Faults{Silent: true}, reason: rock.Unavailable, verdict: rock.MayHaveRun, started: 1},
		"broken off":  {faults: work.Faults{Down: true}, reason: rock.Unavailable, verdict: rock.MayHaveRun},
		"over limits": {payload: `"` + strings.Repeat("x", 2<<10) + `"`, reason: rock.TooLarge, verdict: rock.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			w, h := serve(t, work.Settings{})
			c := targ.New(targ.Settings{Probe: probe, CallTimeout: probe, MaxPayload: 1 << 10})
			_, err := c.Run(ctx, h, taskOf("t0", `{"echo":"other"}`))
			assert.NilError(t, err)
			w.SetFaults(test.faults)
			if test.payload == "" {
				test.payload = echo
			}
			a, err := c.Run(ctx, h, taskOf("t1", test.payload))
			assert.Equal(t, rock.ReasonOf(err), test.reason)
			assert.Equal(t, rock.VerdictOf(err), test.verdict)
			assert.Equal(t, string(a.Payload()), test.answer)
			assert.Equal(t, len(w.Runs())-1, test.started)
		})
	}
}

func TestGoneHostIsNotRun(t *testing.T) {
	server := httptest.NewServer(nil)
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := targ.New(targ.Settings{}).Run(context.Background(), hostAt(address), taskOf("t1", "1"))
	assert.Equal(t, rock.ReasonOf(err), rock.Unavailable)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
}

func TestCallerGivesUp(t *testing.T) {
	w, h := serve(t, work.Settings{})
	c := targ.New(targ.Settings{Probe: probe})
	ctx, cancel := context.WithTimeout(context.Background(), 2*probe)
	defer cancel()
	_, err := c.Run(ctx, h, taskOf("t1", `{"work_ms":60000}`))
	assert.Equal(t, rock.ReasonOf(err), rock.DeadlineExceeded)
	assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
	assert.NilError(t, c.Cancel(context.Background(), h, "t1"))
	assert.Equal(t, w.Leases(), 0)
}

func TestLongTask(t *testing.T) {
	ctx := context.Background()
	w, h := serve(t, work.Settings{})
	c := targ.New(targ.Settings{})
	assert.NilError(t, c.Start(ctx, h, taskOf("t/1", `{"work_ms":60000}`)))
	s, err := c.Status(ctx, h, "t/1")
	assert.NilError(t, err)
	assert.Equal(t, s.State(), rock.TaskRunning)
	s, err = c.Checkpoint(ctx, h, "t/1")
	assert.NilError(t, err)
	assert.Assert(t, len(s.Checkpoint()) > 0)
	u, err := c.Usage(ctx, h)
	assert.NilError(t, err)
	assert.Equal(t, u.Busy(), 1)
	assert.NilError(t, c.Cancel(ctx, h, "t/1"))
	_, err = c.Status(ctx, h, "t9")
	assert.Equal(t, rock.ReasonOf(err), rock.NotFound)
	assert.Equal(t, w.Runs()[0].State, rock.TaskCancelled)
}
