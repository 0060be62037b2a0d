package targ_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/targ"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestRevokedTaskIsNotRun loses a task on a connection that went silent, and
// has it refused when it is sent again: its first bytes may still be on the
// way, but the target promised not to start it.
func TestRevokedTaskIsNotRun(t *testing.T) {
	ctx := context.Background()
	b := newBench(t)
	c := targ.New(targ.Settings{Probe: probe})
	defer c.Close()
	_, err := c.Run(ctx, b.host, taskOf("t1", "1"))
	assert.NilError(t, err)
	b.relay.Silence()
	b.worker.SetFaults(work.Faults{Refuse: true})
	_, err = c.Run(ctx, b.host, taskOf("t2", "2"))
	assert.Equal(t, rock.ReasonOf(err), rock.Unavailable)
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	b.worker.SetFaults(work.Faults{})
	_, err = c.Run(ctx, b.host, taskOf("t2", "2"))
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun, "a revoked task is never started")
	assert.Equal(t, len(b.worker.Runs()), 1)
}

// TestSilentConnectionCostsNoHost sends over connections that went silent: the
// task is run on the same host over a new one.
func TestSilentConnectionCostsNoHost(t *testing.T) {
	ctx := context.Background()
	b := newBench(t)
	c := targ.New(targ.Settings{Probe: probe})
	defer c.Close()
	for i := range 3 {
		a, err := c.Run(ctx, b.host, taskOf(fmt.Sprintf("t%d", i), fmt.Sprintf(`{"echo":%d}`, i)))
		assert.NilError(t, err)
		assert.Equal(t, string(a.Payload()), fmt.Sprintf(`{"echo":%d}`, i))
		b.relay.Silence()
	}
	assert.Equal(t, len(b.worker.Runs()), 3)
}

// TestGivenUpTasksFreeTheirSlots gives up many tasks at once.
func TestGivenUpTasksFreeTheirSlots(t *testing.T) {
	const tasks = 64
	b := newBench(t)
	c := targ.New(targ.Settings{})
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	g := group.New(context.Background())
	for i := range tasks {
		g.Go("caller", func(context.Context) error {
			_, err := c.Run(ctx, b.host, taskOf(fmt.Sprintf("t%d", i), `{"work_ms":600000}`))
			if rock.ReasonOf(err) != rock.Cancelled || rock.VerdictOf(err) != rock.MayHaveRun {
				return fmt.Errorf("want a cancelled task that may have run, got %w", err)
			}
			return nil
		})
	}
	slots := func(want int) poll.Check {
		return func(poll.LogT) poll.Result {
			if n := b.worker.Leases(); n != want {
				return poll.Continue("%d slots are taken", n)
			}
			return poll.Success()
		}
	}
	poll.WaitOn(t, slots(tasks), poll.WithTimeout(20*time.Second))
	cancel()
	assert.NilError(t, g.Wait())
	poll.WaitOn(t, slots(0), poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
}

// TestSilentConnectionsCostOneProbe makes several kept connections go silent:
// one task finds out, and the next ones go over new connections at once.
func TestSilentConnectionsCostOneProbe(t *testing.T) {
	const connections, probe = 8, time.Second
	ctx := context.Background()
	b := newBench(t)
	c := targ.New(targ.Settings{Probe: probe})
	defer c.Close()
	g := group.New(ctx)
	for i := range connections {
		g.Go("run", func(ctx context.Context) error {
			_, err := c.Run(ctx, b.host, taskOf(fmt.Sprintf("a%d", i), `{"work_ms":100}`))
			return err
		})
	}
	assert.NilError(t, g.Wait())
	b.relay.Silence()
	begun := time.Now()
	for i := range connections {
		_, err := c.Run(ctx, b.host, taskOf(fmt.Sprintf("b%d", i), "1"))
		assert.NilError(t, err)
	}
	took := time.Since(begun)
	t.Logf("%d tasks took %v", connections, took)
	assert.Assert(t, took < connections*probe/2)
}
