package main

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/client"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestWholePath takes requests through six processes: a platform, three
// targets and two entries in different availability zones.
func TestWholePath(t *testing.T) {
	d := deploy(t)
	for _, name := range []string{"a1", "b1"} {
		answer, err := d.callerOf(name, callerToken).Call(context.Background(), "tins", client.Request{
			Payload: []byte(`{"echo":{"line":4}}`), TimeoutMS: 5000, Idempotent: true,
		})
		assert.NilError(t, err, name)
		assert.Equal(t, answer.Verdict, rock.Ran)
		assert.Equal(t, string(answer.Payload), `{"echo":{"line":4}}`)
	}
	_, err := d.callerOf("a1", otherToken).Call(context.Background(), "tins", client.Request{Payload: []byte(`{}`)})
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun)
	assert.Assert(t, rock.ReasonOf(err) == rock.NotFound || rock.ReasonOf(err) == rock.Forbidden, "%v", err)
}

// TestTerminationCutsNothing sends SIGTERM to an entry with requests in flight.
func TestTerminationCutsNothing(t *testing.T) {
	const requests = 12
	d := deploy(t)
	c := d.callerOf("a1", callerToken)
	var g errgroup.Group
	for i := range requests {
		g.Go(func() error {
			payload := fmt.Sprintf(`{"work_ms":%d,"echo":%d}`, 500+50*i, i)
			answer, err := c.Call(context.Background(), "tins", client.Request{Payload: []byte(payload), TimeoutMS: 20000})
			if err == nil && string(answer.Payload) != fmt.Sprintf(`{"echo":%d}`, i) {
				return fmt.Errorf("request %d: got answer %s", i, answer.Payload)
			}
			return err
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := d.started(); n < requests {
			return poll.Continue("%d of %d requests are running", n, requests)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	d.entries["a1"].signal(syscall.SIGTERM)
	assert.NilError(t, g.Wait())
	assert.NilError(t, d.entries["a1"].wait(20*time.Second))
}
