package work_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/fakes/work"

	"gotest.tools/v3/assert"
)

var _ rock.Target = (*work.Fleet)(nil)

// h1 is the only host of the tests.
var h1 = rock.NewHost(rock.HostSpec{Name: "h1", Pool: "tins", Generation: 1, Slots: 2, Open: true})

// taskOf returns a task of pool tins with a lease of a second.
func taskOf(id string, generation uint64, payload string) rock.Task {
	return rock.NewTask(id, "tins", generation, time.Second, time.Time{}, json.RawMessage(payload))
}

func TestRunEchoes(t *testing.T) {
	f := work.NewFleet(work.New(work.Settings{Name: "h1"}))
	a, err := f.Run(context.Background(), h1, taskOf("t1", 1, `{"echo":7,"work_ms":1,"key":"k"}`))
	assert.NilError(t, err)
	assert.Equal(t, string(a.Payload()), `{"echo":7}`)
	assert.Equal(t, a.RequestID(), "t1")
	runs := f.Runs()["h1"]
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Key, "k")
	assert.Equal(t, runs[0].State, rock.TaskDone)
}

func TestFaultsOfRun(t *testing.T) {
	tests := map[string]struct {
		faults  work.Faults
		task    rock.Task
		reason  rock.Reason
		verdict rock.Verdict
		started int
	}{
		"down":      {work.Faults{Down: true}, taskOf("t", 1, "1"), rock.Unavailable, rock.NotRun, 0},
		"refuse":    {work.Faults{Refuse: true}, taskOf("t", 1, "1"), rock.Unavailable, rock.NotRun, 0},
		"fail fast": {work.Faults{FailFast: true}, taskOf("t", 1, "1"), rock.WorkFailed, rock.MayHaveRun, 1},
		"cut short": {work.Faults{CutShort: true}, taskOf("t", 1, "1"), rock.Truncated, rock.MayHaveRun, 1},
		"silent":    {work.Faults{Silent: true}, taskOf("t", 1, "1"), rock.DeadlineExceeded, rock.MayHaveRun, 1},
		"own fault": {work.Faults{}, taskOf("t", 1, `{"fail":true}`), rock.WorkFailed, rock.MayHaveRun, 1},
		"late":      {work.Faults{LateMS: 60_000}, taskOf("t", 1, "1"), rock.DeadlineExceeded, rock.MayHaveRun, 1},
		"no id":     {work.Faults{}, taskOf("", 1, "1"), rock.BadInput, rock.NotRun, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			f := work.NewFleet(work.New(work.Settings{Name: "h1"}))
			f.Worker("h1").SetFaults(test.faults)
			_, err := f.Run(ctx, h1, test.task)
			assert.Equal(t, rock.ReasonOf(err), test.reason)
			assert.Equal(t, rock.VerdictOf(err), test.verdict)
			assert.Equal(t, len(f.Worker("h1").Runs()), test.started)
		})
	}
}

// clock is a time that a test moves.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func TestLeasesSlotsAndFence(t *testing.T) {
	ctx := context.Background()
	c := &clock{time.Unix(0, 0)}
	w := work.New(work.Settings{Name: "h1", Slots: 2, UsageLag: time.Second, Now: c.Now})
	f := work.NewFleet(w)
	assert.NilError(t, f.Start(ctx, h1, taskOf("t1", 2, `{"work_ms":10000}`)))
	assert.NilError(t, f.Start(ctx, h1, taskOf("t2", 2, `{"work_ms":10000}`)))
	assert.Equal(t, rock.ReasonOf(f.Start(ctx, h1, taskOf("t3", 2, "1"))), rock.Overloaded)
	assert.Equal(t, rock.ReasonOf(f.Start(ctx, h1, taskOf("t4", 1, "1"))), rock.Fenced)
	assert.NilError(t, f.Start(ctx, h1, taskOf("t2", 2, `{"work_ms":10000}`)), "a known task is not started again")

	c.now = c.now.Add(900 * time.Millisecond)
	s, err := f.Checkpoint(ctx, h1, "t1")
	assert.NilError(t, err)
	assert.Equal(t, string(s.Checkpoint()), `{"progress":0.0900}`)
	_, err = f.Status(ctx, h1, "t1")
	assert.NilError(t, err)
	u, err := f.Usage(ctx, h1)
	assert.NilError(t, err)
	assert.Equal(t, u.Busy(), 1, "the report is a second old")

	c.now = c.now.Add(200 * time.Millisecond)
	assert.Equal(t, w.Leases(), 1, "the lease of t2 lapsed, that of t1 was renewed")
	assert.NilError(t, f.Cancel(ctx, h1, "t1"))
	assert.Equal(t, w.Leases(), 0)
}
