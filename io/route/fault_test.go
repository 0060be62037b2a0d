package route_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/fakes/work"

	"gotest.tools/v3/assert"
)

// TestFailFastWorkerCostsLittle sends idempotent requests to ten hosts of which
// one begins to fail all at once.
func TestFailFastWorkerCostsLittle(t *testing.T) {
	t.Parallel()
	const requests = 3000
	b := newBench(t, 10, nil)
	for i := range 200 {
		_, err := b.engine.Do(context.Background(), request(fmt.Sprint("before", i), true, 10*time.Second, 0))
		assert.NilError(t, err)
	}
	bad := b.work.Worker("h3")
	begun := len(bad.Runs())
	bad.SetFaults(work.Faults{FailFast: true})
	lost := 0
	for i := range requests {
		_, err := b.engine.Do(context.Background(), request(fmt.Sprint("r", i), true, 10*time.Second, 0))
		if err != nil && len(bad.Runs())-begun > 20 {
			lost++
		}
	}
	failures := len(bad.Runs()) - begun
	t.Logf("%d failures of the host, %d of %d requests lost after the first 20", failures, lost, requests)
	assert.Assert(t, lost < requests/100)
	assert.Assert(t, failures < 100)
}

// TestWorkThatNeverRunsIsQuarantined sends the same failing work again and
// again between requests that succeed.
func TestWorkThatNeverRunsIsQuarantined(t *testing.T) {
	t.Parallel()
	b := newBench(t, 4, nil)
	bad := func(id string) error {
		_, err := b.engine.Do(context.Background(), rock.NewRequest(rock.RequestSpec{
			ID: id, Organisation: "alpha", Pool: "tins", Idempotent: true, Deadline: time.Now().Add(10 * time.Second),
			Payload: []byte(`{"fail":true,"key":"bad"}`),
		}))
		return err
	}
	refused := 0
	for i := range 300 {
		err := bad(fmt.Sprint("bad", i))
		assert.Assert(t, err != nil)
		if rock.ReasonOf(err) == rock.Quarantined && rock.VerdictOf(err) == rock.NotRun {
			refused++
		}
		for j := range 3 {
			_, err := b.engine.Do(context.Background(), request(fmt.Sprintf("good%d.%d", i, j), true, 10*time.Second, 0))
			assert.NilError(t, err)
		}
	}
	t.Logf("%d of 300 refused, %d started", refused, b.starts("bad"))
	assert.Assert(t, refused > 250)
	used := 0
	for _, h := range b.hosts {
		if len(b.work.Worker(h.Name).Runs()) > 100 {
			used++
		}
	}
	assert.Equal(t, used, 4, "all hosts are in use")
}
