package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/works"

	"gotest.tools/v3/assert"
)

// TestPickerChoosesLikeAScan compares the choices of a picker with those of a look at all
// workers, while tasks of several sizes, with and without data in a rack, are placed on
// workers of different speeds, some of which are reserved or have refused a start.
func TestPickerChoosesLikeAScan(t *testing.T) {
	t.Parallel()
	now := time.Date(2026, 12, 5, 8, 0, 0, 0, time.UTC)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := New(Settings{RemoteSlowdown: 2})
		c.placementRound = 1
		var usable []*worker
		for i := range 40 {
			w := c.newWorker(fmt.Sprintf("w%02d", i))
			w.Capacity, w.rack = rock.Resources{MilliCores: 32000, MemoryMB: 128000}, fmt.Sprint("r", i/8)
			w.used.MilliCores = 1000 * random.Int64N(33)
			if random.IntN(3) == 0 {
				w.slowdown.record(now, 4*random.Float64())
			}
			switch random.IntN(10) {
			case 0:
				most := w.Capacity
				most.MilliCores -= 1500 * random.Int64N(4)
				w.reservation = reservation{round: 1, mostUsed: most}
			case 1:
				w.backoffUntil = now.Add(time.Second)
			}
			usable = append(usable, w)
		}
		c.picker = newPicker(c, now, usable)
		for i := range 200 {
			s := works.Step{Count: 1, Need: rock.Resources{MilliCores: 1500 * (1 + random.Int64N(4)), MemoryMB: 100}}
			if random.IntN(2) == 0 {
				s.Rack = fmt.Sprint("r", random.IntN(6)) // no worker is in the last one
			}
			j := newJob(now, works.Job{ID: fmt.Sprintf("%016x", i), Spec: works.Spec{Steps: []works.Step{s}}}, unknownQueue, 1)
			task := j.steps[0].tasks[0]
			want := c.cheapestWorker(now, task, usable, func(w *worker) bool { return c.mayPlace(now, task.step, task.step.Reservation(), w) })
			assert.Assert(t, c.picker.serves(task))
			got := c.picker.choose(task)
			assert.Equal(t, got, want, "seed %d task %d", seed, i)
			if got != nil {
				got.addRun(newRun(task, got, 1))
			}
		}
	}
}
