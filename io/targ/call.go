package targ

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	rock "bramleyrock"
	"bramleyrock/io/calls"

	"github.com/dghubble/sling"
)

// call is one call of a target about a task.
type call struct {
	op      string
	host    rock.Host
	taskID  string
	request *sling.Sling
}

// newCall returns a call with a path below the host's address.
func newCall(op string, host rock.Host, taskID string) call {
	return call{op: op, host: host, taskID: taskID, request: sling.New().Base("http://" + host.Address() + "/")}
}

// do makes the call over h and returns the body of its whole answer.
func (c *Client) do(ctx context.Context, h *http.Client, a call) ([]byte, error) {
	callID := c.nextCallID()
	a.request.Set(CallHeader, callID)
	req, err := a.request.Request()
	if err != nil {
		return nil, rock.Fail(a.op, a.subject(), rock.BadInput, rock.NotRun).Because(err)
	}
	resp, sent, err := calls.Do(h, req.WithContext(ctx))
	if err != nil {
		return nil, a.lost(ctx, sent, err)
	}
	defer resp.Body.Close()
	body, err := answerReader{a.op, a.host.Name(), a.taskID, callID, c.settings.MaxAnswer}.read(resp)
	if ctx.Err() != nil && rock.ReasonOf(err) == rock.Truncated {
		return nil, a.lost(ctx, true, err)
	}
	return body, err
}

// nextCallID returns an id that no other call has.
func (c *Client) nextCallID() string {
	return c.callPrefix + strconv.FormatUint(c.callCount.Add(1), 36)
}

// lost returns the failure of a call without an answer.
func (a call) lost(ctx context.Context, sent bool, err error) error {
	verdict := rock.NotRun
	if sent {
		verdict = rock.MayHaveRun
	}
	reason := rock.Unavailable
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = rock.Cancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = rock.DeadlineExceeded
	}
	return rock.Fail(a.op, a.subject(), reason, verdict).Because(err)
}

// subject returns what the call is applied to.
func (a call) subject() string { return "host " + a.host.Name() }
