package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/io/client"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestOutageOfThePlatform replaces an entry while the platform is down. The new
// one serves from its peer's records, changes are refused as not_run, and
// afterwards they are accepted and in force everywhere.
func TestOutageOfThePlatform(t *testing.T) {
	d := deploy(t)
	d.faults(`{"down":true}`)
	operator := client.New(client.Settings{BaseURL: "http://" + d.entries["a1"].operator, Token: operatorToken})
	_, err := operator.Change(context.Background(), newPool("down"))
	assert.Equal(t, rock.VerdictOf(err), rock.NotRun, "%v", err)

	d.entries["b1"].signal(syscall.SIGKILL)
	delete(d.entries, "b1")
	fresh := d.startEntry("b2", "b", "--peers", d.entries["a1"].peer)
	d.waitRevision(fresh, 1)
	assert.Assert(t, strings.Contains(d.ready(fresh), "unconfirmed"), d.ready(fresh))
	answer, err := d.callerOf("b2", callerToken).Call(context.Background(), "tins", client.Request{
		Payload: []byte(`{"echo":4}`), TimeoutMS: 10_000, Idempotent: true,
	})
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Payload), `{"echo":4}`)

	d.faults(`{}`)
	begin := time.Now()
	accepted, err := operator.Change(context.Background(), newPool("back"))
	assert.NilError(t, err)
	for _, e := range d.entries {
		d.waitRevision(e, uint64(accepted.Revision()))
	}
	t.Logf("in force everywhere after %v", time.Since(begin))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if text := d.ready(fresh); strings.Contains(text, "unconfirmed") {
			return poll.Continue("%s", text)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}

func newPool(name string) client.Change {
	r, err := record.Encode(rock.NewKey(rock.KindPool, name), 0, record.NewPool("alpha", false))
	if err != nil {
		panic(err)
	}
	return client.Change{ChangeID: name, Why: "test", Records: []rock.Record{r}}
}

// faults sets the switches of the platform.
func (d *deployment) faults(switches string) {
	d.t.Helper()
	resp, err := http.Post("http://"+d.platform+"/faults", "application/json", bytes.NewBufferString(switches))
	assert.NilError(d.t, err)
	assert.NilError(d.t, resp.Body.Close())
	assert.Equal(d.t, resp.StatusCode, http.StatusNoContent)
}

// ready returns the entry's page /readyz.
func (d *deployment) ready(e *entryProcess) string {
	d.t.Helper()
	resp, err := http.Get("http://" + e.operator + "/readyz")
	assert.NilError(d.t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(d.t, err)
	assert.NilError(d.t, resp.Body.Close())
	return string(body)
}
