package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/client"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// startsOf returns how many tasks with that key in their payload the targets
// have started.
func (d *deployment) startsOf(key string) int {
	d.t.Helper()
	n := 0
	for _, runs := range d.runs() {
		for _, r := range runs {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

// key returns an idempotency key of the entry.
func (d *deployment) key(home string) string {
	d.t.Helper()
	keys, err := d.callerOf(home, callerToken).IssueKeys(context.Background(), 1)
	assert.NilError(d.t, err)
	return keys.Keys[0]
}

// check sends a request that is not idempotent, through the entry.
func (d *deployment) check(through, key, label string, workMS int) (client.Answer, error) {
	return d.callerOf(through, callerToken).Call(context.Background(), "tins", client.Request{
		Payload:        fmt.Appendf(nil, `{"work_ms":%d,"key":%q,"echo":%q}`, workMS, label, label),
		TimeoutMS:      3000,
		IdempotencyKey: key,
	})
}

// linked waits until one entry can forward to another: until a request with a
// key of the one comes through the other.
func (d *deployment) linked(from, to string) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if _, err := d.check(from, d.key(to), "link", 0); err != nil {
			return poll.Continue("%s to %s: %v", from, to, err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// TestKeyedRequestRunsOnceOverLossOfItsHome resends through another entry
// while the key's home is frozen, thawed, killed and restarted.
func TestKeyedRequestRunsOnceOverLossOfItsHome(t *testing.T) {
	d := deploy(t)
	d.linked("b1", "a1")
	answered, frozen := d.key("a1"), d.key("a1")
	_, err := d.check("b1", answered, "answered", 1)
	assert.NilError(t, err)

	var g errgroup.Group
	g.Go(func() error {
		_, err := d.check("b1", frozen, "frozen", 1000)
		if rock.VerdictOf(err) != rock.MayHaveRun {
			return fmt.Errorf("send to the frozen home: got %w, want may_have_run", err)
		}
		return nil
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.startsOf("frozen") == 0 {
			return poll.Continue("not started")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	d.entries["a1"].signal(syscall.SIGSTOP)
	assert.NilError(t, g.Wait())
	_, err = d.check("b1", answered, "answered", 1)
	assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
	d.entries["a1"].signal(syscall.SIGCONT)

	poll.WaitOn(t, func(poll.LogT) poll.Result {
		answer, err := d.check("b1", answered, "answered", 1)
		if err != nil {
			return poll.Continue("%v", err)
		}
		assert.Equal(t, string(answer.Payload), `{"echo":"answered"}`)
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	answer, err := d.check("b1", frozen, "frozen", 1000)
	assert.Assert(t, rock.VerdictOf(err) == rock.MayHaveRun || string(answer.Payload) == `{"echo":"frozen"}`, "%v", err)

	for _, lose := range []func(){
		func() { d.entries["a1"].signal(syscall.SIGKILL) },
		func() { d.startEntry("a1", "a") },
	} {
		lose()
		for _, label := range []string{"answered", "frozen"} {
			key := map[string]string{"answered": answered, "frozen": frozen}[label]
			_, err := d.check("b1", key, label, 1)
			assert.Equal(t, rock.VerdictOf(err), rock.MayHaveRun)
			assert.Equal(t, d.startsOf(label), 1)
		}
	}
}

// TestRequestsAreServedWithoutPlatform takes the platform away and sends
// keyed requests through both entries.
func TestRequestsAreServedWithoutPlatform(t *testing.T) {
	d := deploy(t)
	d.linked("b1", "a1")
	d.linked("a1", "b1")
	resp, err := http.Post("http://"+d.platform+"/faults", "application/json", bytes.NewBufferString(`{"down":true}`))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	for i := range 20 {
		label := fmt.Sprint("check", i)
		home, through := "a1", "b1"
		if i%2 == 0 {
			home, through = through, home
		}
		key := d.key(home)
		for _, entry := range []string{home, through, home} {
			answer, err := d.check(entry, key, label, 1)
			assert.NilError(t, err)
			assert.Equal(t, string(answer.Payload), fmt.Sprintf(`{"echo":%q}`, label))
		}
		assert.Equal(t, d.startsOf(label), 1)
	}
}

// balancer hands callers the entries that are in use.
type balancer struct {
	mu      sync.Mutex
	entries []string
	next    int
}

func (b *balancer) set(entries ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = entries
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.entries[b.next%len(b.entries)]
}

// TestEntriesAreReplacedInTurn has 200 requests of mixed length, none of them
// idempotent, under way while every entry is stopped and replaced. Callers send
// again only what was answered not_run.
func TestEntriesAreReplacedInTurn(t *testing.T) {
	const requests = 200
	d := deploy(t)
	var b balancer
	b.set("a1", "b1")
	callers := map[string]*client.Client{}
	for _, name := range []string{"a1", "b1"} {
		callers[name] = d.callerOf(name, callerToken)
	}
	var mu sync.Mutex
	caller := func(name string) *client.Client {
		mu.Lock()
		defer mu.Unlock()
		return callers[name]
	}
	var g errgroup.Group
	for i := range requests {
		g.Go(func() error {
			payload := fmt.Appendf(nil, `{"work_ms":%d,"key":"r%d","echo":%d}`, 20+(i*37)%1200, i, i)
			for {
				answer, err := caller(b.pick()).Call(context.Background(), "tins", client.Request{Payload: payload, TimeoutMS: 60_000})
				switch {
				case err == nil && string(answer.Payload) == fmt.Sprintf(`{"echo":%d}`, i):
					return nil
				case err == nil:
					return fmt.Errorf("request %d: got answer %s", i, answer.Payload)
				case rock.VerdictOf(err) != rock.NotRun:
					return fmt.Errorf("request %d: %w", i, err)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := d.started(); n < 24 {
			return poll.Continue("%d requests were started", n)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	for _, turn := range []struct{ old, next, zone string }{{"a1", "a2", "a"}, {"b1", "b2", "b"}} {
		e := d.startEntry(turn.next, turn.zone)
		d.waitRevision(e, 1)
		mu.Lock()
		callers[turn.next] = d.callerOf(turn.next, callerToken)
		mu.Unlock()
		b.set("a2", map[string]string{"a1": "b1", "b1": "b2"}[turn.old])
		d.entries[turn.old].signal(syscall.SIGTERM)
		assert.NilError(t, d.entries[turn.old].wait(60*time.Second))
	}
	assert.NilError(t, g.Wait())
	for i := range requests {
		assert.Equal(t, d.startsOf(fmt.Sprint("r", i)), 1)
	}
}
