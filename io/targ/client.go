package targ

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/ring"

	"github.com/google/uuid"
)

// distrustProbes is the number of probe intervals between two times that the
// idle connections are closed because one went silent.
const distrustProbes = 5

// Client is a client of targets. It implements [rock.Target] and is safe for
// concurrent use.
type Client struct {
	settings Settings
	kept     *http.Client
	fresh    *http.Client
	duties   *group.Group
	// callPrefix and callCount make the ids of calls.
	callPrefix string
	callCount  atomic.Uint64
	left       *ring.Ring[leftTask]
	runs       runs

	mu sync.Mutex
	// trusted is when idle connections may be closed again.
	trusted time.Time
}

// New returns a client. It must be closed.
func New(s Settings) *Client {
	s = s.withDefaults()
	c := &Client{
		settings: s,
		kept:     &http.Client{Transport: s.Kept},
		fresh:    &http.Client{Transport: s.Fresh},
		duties:   group.New(context.Background()),
		left:     ring.New[leftTask](s.MaxLeft),

		callPrefix: uuid.NewString() + ".",
	}
	c.duties.Go("ask about runs", c.askAboutRuns)
	for range cancelDuties {
		c.duties.Go("cancel tasks", c.cancelLeft)
	}
	return c
}

// distrust closes the idle connections after one went silent, but not again
// within several probe intervals.
func (c *Client) distrust(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.trusted) {
		return
	}
	c.trusted = now.Add(distrustProbes * c.settings.Probe)
	c.kept.CloseIdleConnections()
}

// Close ends the client's background work. Tasks that are left to be cancelled
// end when their leases lapse.
func (c *Client) Close() {
	c.duties.Stop()
	// The duties return no errors.
	_ = c.duties.Wait()
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Start implements [rock.Target]. A lost answer is settled by asking for the
// task.
func (c *Client) Start(ctx context.Context, host rock.Host, task rock.Task) error {
	if err := c.checkSize("start", host, task); err != nil {
		return err
	}
	a := newCall("start", host, task.ID())
	a.request.Post("tasks").BodyJSON(FromTask(task))
	return c.ask(ctx, a, nil)
}

// checkSize refuses a payload that is too large.
func (c *Client) checkSize(op string, host rock.Host, task rock.Task) error {
	if n := len(task.Payload()); n > c.settings.MaxPayload {
		return rock.Fail(op, "host "+host.Name(), rock.TooLarge, rock.NotRun).
			Becausef("payload has %d bytes, at most %d are allowed", n, c.settings.MaxPayload)
	}
	return nil
}

// Status implements [rock.Target]. A task that the target does not know is a
// [rock.NotFound] failure.
func (c *Client) Status(ctx context.Context, host rock.Host, taskID string) (rock.TaskStatus, error) {
	return c.askStatus(ctx, statusCall(host, taskID))
}

// statusCall returns a call that asks for the status of a task.
func statusCall(host rock.Host, taskID string) call {
	a := newCall("status", host, taskID)
	a.request.Get("tasks/" + url.PathEscape(taskID))
	return a
}

// revokeCall returns a call that makes sure that the task is not started from
// now on.
func revokeCall(host rock.Host, taskID string) call {
	a := newCall("revoke", host, taskID)
	a.request.Post("tasks/" + url.PathEscape(taskID) + "/revoke")
	return a
}

// Checkpoint implements [rock.Target].
func (c *Client) Checkpoint(ctx context.Context, host rock.Host, taskID string) (rock.TaskStatus, error) {
	a := newCall("checkpoint", host, taskID)
	a.request.Post("tasks/" + url.PathEscape(taskID) + "/checkpoint")
	return c.askStatus(ctx, a)
}

// askStatus makes a call that is answered with the status of a task.
func (c *Client) askStatus(ctx context.Context, a call) (rock.TaskStatus, error) {
	var f StatusForm
	if err := c.ask(ctx, a, &f); err != nil {
		return rock.TaskStatus{}, err
	}
	return f.Status(), nil
}

// Cancel implements [rock.Target].
func (c *Client) Cancel(ctx context.Context, host rock.Host, taskID string) error {
	a := newCall("cancel", host, taskID)
	a.request.Delete("tasks/" + url.PathEscape(taskID))
	return c.ask(ctx, a, nil)
}

// Usage implements [rock.Target].
func (c *Client) Usage(ctx context.Context, host rock.Host) (rock.Usage, error) {
	var f UsageForm
	a := newCall("usage", host, "")
	a.request.Get("usage")
	if err := c.ask(ctx, a, &f); err != nil {
		return rock.Usage{}, err
	}
	return f.Usage(), nil
}

// ask makes a short call and decodes its answer. If the answer does not come
// over a kept connection, the call is made again over a new one; a target
// takes a repeated call about a task as the same.
func (c *Client) ask(ctx context.Context, a call, value any) error {
	err := c.askOver(ctx, c.kept, a, value)
	if err == nil || !lostAnswer(err) || ctx.Err() != nil {
		return err
	}
	again := c.askOver(ctx, c.fresh, a, value)
	if again != nil && rock.VerdictOf(again) == rock.NotRun {
		return rock.Fail(a.op, a.subject(), rock.ReasonOf(again), rock.MayHaveRun).Because(again)
	}
	return again
}

// lostAnswer reports whether a call may have arrived but was not answered
// whole.
func lostAnswer(err error) bool {
	if rock.VerdictOf(err) != rock.MayHaveRun {
		return false
	}
	reason := rock.ReasonOf(err)
	return reason == rock.Unavailable || reason == rock.Truncated
}

// askOver makes a short call over h and decodes its answer.
func (c *Client) askOver(ctx context.Context, h *http.Client, a call, value any) error {
	short, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	body, err := c.do(short, h, a)
	if err != nil {
		if rock.ReasonOf(err) == rock.DeadlineExceeded && ctx.Err() == nil {
			return rock.Fail(a.op, a.subject(), rock.Unavailable, rock.VerdictOf(err)).Because(err)
		}
		return err
	}
	if value == nil {
		return nil
	}
	if err := json.Unmarshal(body, value); err != nil {
		return rock.Fail(a.op, a.subject(), rock.Truncated, rock.MayHaveRun).
			Because(fmt.Errorf("decode answer: %w", err))
	}
	return nil
}
