package plat

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	rock "bramleyrock"
	"bramleyrock/io/calls"
	"bramleyrock/io/probl"

	"github.com/dghubble/sling"
)

// maxResponseBytes is the greatest size of an answer of the platform, in bytes.
const maxResponseBytes = 256 << 20

// Client is a client of the platform. It implements [rock.Table],
// [rock.ObjectStore] and [rock.HostList], and is safe for concurrent use.
type Client struct {
	settings Settings
	base     *sling.Sling
}

// New returns a client, or an error that names the setting that is wrong.
func New(s Settings) (*Client, error) {
	s, err := s.check()
	if err != nil {
		return nil, err
	}
	base := sling.New().Base(s.BaseURL)
	if s.Token != "" {
		base.Set("Authorization", "Bearer "+s.Token)
	}
	return &Client{settings: s, base: base}, nil
}

// request is one call of the platform.
type request struct {
	op      string
	subject string
	writes  bool
	builder *sling.Sling
}

// send makes the call and returns the whole body of its answer.
func (c *Client) send(ctx context.Context, a request) ([]byte, error) {
	short, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	req, err := a.builder.Request()
	if err != nil {
		return nil, rock.Fail(a.op, a.subject, rock.BadInput, rock.NotRun).Because(err)
	}
	resp, sent, err := calls.Do(c.settings.Client, req.WithContext(short))
	if err != nil {
		c.closeIdleAfterTimeout(short)
		return nil, a.unansweredError(ctx, sent, err)
	}
	defer resp.Body.Close()
	if err := probl.Read(resp); err != nil {
		return nil, a.answeredError(err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponseBytes))
	if err != nil {
		c.closeIdleAfterTimeout(short)
		return nil, a.unansweredError(ctx, true, err)
	}
	return body, nil
}

// closeIdleAfterTimeout closes the idle connections after a call that ran into its timeout:
// if its connection went silent, others are likely to have done so too.
func (c *Client) closeIdleAfterTimeout(short context.Context) {
	if errors.Is(short.Err(), context.DeadlineExceeded) {
		c.settings.Client.CloseIdleConnections()
	}
}

// getJSON makes a call whose answer is a JSON value.
func (c *Client) getJSON(ctx context.Context, a request, value any) error {
	body, err := c.send(ctx, a)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, value); err != nil {
		return rock.Fail(a.op, a.subject, rock.Truncated, rock.NotRun).Because(fmt.Errorf("decode answer: %w", err))
	}
	return nil
}

// unansweredError returns the failure of a call without an answer.
func (a request) unansweredError(ctx context.Context, sent bool, err error) error {
	if sent && a.writes {
		return rock.Fail(a.op, a.subject, rock.OutcomeUnknown, rock.MayHaveRun).Because(err)
	}
	reason := rock.Unavailable
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = rock.Cancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = rock.DeadlineExceeded
	}
	return rock.Fail(a.op, a.subject, reason, rock.NotRun).Because(err)
}

// answeredError returns the failure of a call that was answered with an error.
func (a request) answeredError(err error) error {
	if rock.VerdictOf(err) == rock.NotRun {
		return err
	}
	if a.writes {
		return rock.Fail(a.op, a.subject, rock.OutcomeUnknown, rock.MayHaveRun).Because(err)
	}
	return rock.Fail(a.op, a.subject, rock.ReasonOf(err), rock.NotRun).Because(err)
}
