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

// TestFailFastWorkerIsEjected sends idempotent requests to ten hosts, one of
// which begins to fail every task immediately. Such a host is free more often
// than the others, so it would attract and lose most of the load unless it is
// ejected.
func TestFailFastWorkerIsEjected(t *testing.T) {
	t.Parallel()
	const requests = 3000
	b := newFixture(t, 10, nil)
	for i := range 200 {
		_, err := b.engine.Do(context.Background(), request(fmt.Sprint("before", i), true, 10*time.Second, 0))
		assert.NilError(t, err)
	}
	bad := b.work.Worker("h3")
	initial := len(bad.Runs())
	bad.SetFaults(work.Faults{FailFast: true})
	lost := 0
	for i := range requests {
		_, err := b.engine.Do(context.Background(), request(fmt.Sprint("r", i), true, 10*time.Second, 0))
		if err != nil && len(bad.Runs())-initial > 20 {
			lost++
		}
	}
	failures := len(bad.Runs()) - initial
	t.Logf("%d failures of the host, %d of %d requests lost after the first 20", failures, lost, requests)
	assert.Assert(t, lost < requests/100)
	assert.Assert(t, failures < 100)
}

// TestAlwaysFailingRequestIsQuarantined repeats a request that always fails
// between requests that succeed. It must be quarantined, and no host may be
// ejected because of it.
func TestAlwaysFailingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 4, nil)
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
	t.Logf("%d of 300 refused, %d started", refused, b.countStarts("bad"))
	assert.Assert(t, refused > 250)
	used := 0
	for _, h := range b.hosts {
		if len(b.work.Worker(h.Name).Runs()) > 100 {
			used++
		}
	}
	assert.Equal(t, used, 4, "all hosts are in use")
}
