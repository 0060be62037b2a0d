package targ_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/targ"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestWaveOfCancellations gives up many running tasks at once: all slots are
// free long before the tasks' leases lapse.
func TestWaveOfCancellations(t *testing.T) {
	const hosts, tasks, lease = 20, waveTasks, time.Hour
	w := wire{
		handlers: map[string]http.Handler{},
		duties:   group.New(context.Background()),
		maxLate:  time.Second,
		random:   rand.New(rand.NewPCG(1, 1)),
	}
	var workers []*work.Worker
	for i := range hosts {
		name := fmt.Sprintf("h%d", i)
		workers = append(workers, work.New(work.Settings{Name: name, Slots: tasks / hosts}))
		w.handlers[name] = workers[i].Handler()
	}
	slots := func(want int) poll.Check {
		return func(poll.LogT) poll.Result {
			taken := 0
			for _, k := range workers {
				taken += k.Leases()
			}
			if taken != want {
				return poll.Continue("%d slots are taken", taken)
			}
			return poll.Success()
		}
	}
	c := targ.New(targ.Settings{Probe: time.Hour, Kept: &w, Fresh: &w})
	ctx, giveUp := context.WithCancel(context.Background())
	var cancelled atomic.Int64
	callers := group.New(context.Background())
	for i := range tasks {
		callers.Go("caller", func(context.Context) error {
			task := rock.NewTask(fmt.Sprint(i), "tins", 1, lease, time.Time{}, []byte(`{"work_ms":7200000}`))
			_, err := c.Run(ctx, hostAt(fmt.Sprintf("h%d", i%hosts)), task)
			if rock.ReasonOf(err) == rock.Cancelled && rock.VerdictOf(err) == rock.MayHaveRun {
				cancelled.Add(1)
			}
			return nil
		})
	}
	poll.WaitOn(t, slots(tasks), poll.WithTimeout(time.Minute))
	begun := time.Now()
	giveUp()
	assert.NilError(t, callers.Wait())
	poll.WaitOn(t, slots(0), poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
	t.Logf("%d slots were free after %v", tasks, time.Since(begun))
	assert.Equal(t, cancelled.Load(), int64(tasks))
	c.Close()
	w.duties.Stop()
	assert.NilError(t, w.duties.Wait())
}
