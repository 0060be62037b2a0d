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

// maxResponseBytes is the greatest size of a response body, in bytes.
const maxResponseBytes = 256 << 20

// Client is a client of the platform. It implements [rock.Table],
// [rock.ObjectStore], [rock.HostList] and [rock.IncrementalHostList], and is
// safe for concurrent use.
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

// request is one request to the platform.
type request struct {
	op      string // operation, for errors
	subject string // what the operation is about, for errors
	writes  bool   // whether the request can change the platform's state
	builder *sling.Sling
}

// send sends the request and returns the whole body of its response. A failure
// has the verdict that the package comment describes.
func (c *Client) send(ctx context.Context, r request) ([]byte, error) {
	timed, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	req, err := r.builder.Request()
	if err != nil {
		return nil, rock.Fail(r.op, r.subject, rock.BadInput, rock.NotRun).Because(err)
	}
	resp, sent, err := calls.Do(c.settings.Client, req.WithContext(timed))
	if err != nil {
		c.closeIdleAfterTimeout(timed)
		return nil, r.unansweredError(ctx, sent, err)
	}
	defer resp.Body.Close()
	if err := probl.Read(resp); err != nil {
		return nil, r.answeredError(err)
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxResponseBytes))
	if err != nil {
		c.closeIdleAfterTimeout(timed)
		return nil, r.unansweredError(ctx, true, err)
	}
	return body, nil
}

// closeIdleAfterTimeout closes the idle connections if the request's context
// timed out: if the request's connection went silent, others are likely to have
// done so too.
func (c *Client) closeIdleAfterTimeout(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.settings.Client.CloseIdleConnections()
	}
}

// getJSON sends a request that changes nothing and decodes the JSON body of its
// response into value.
func (c *Client) getJSON(ctx context.Context, r request, value any) error {
	body, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, value); err != nil {
		return rock.Fail(r.op, r.subject, rock.Truncated, rock.NotRun).Because(fmt.Errorf("decode answer: %w", err))
	}
	return nil
}

// unansweredError returns the failure of a request without a complete response.
// If ctx, the caller's context, has ended, that is the reason.
func (r request) unansweredError(ctx context.Context, sent bool, err error) error {
	if sent && r.writes {
		return rock.Fail(r.op, r.subject, rock.OutcomeUnknown, rock.MayHaveRun).Because(err)
	}
	reason := rock.Unavailable
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = rock.Cancelled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = rock.DeadlineExceeded
	}
	return rock.Fail(r.op, r.subject, reason, rock.NotRun).Because(err)
}

// answeredError returns the failure of a request that was answered with an
// error.
func (r request) answeredError(err error) error {
	if rock.VerdictOf(err) == rock.NotRun {
		return err
	}
	if r.writes {
		return rock.Fail(r.op, r.subject, rock.OutcomeUnknown, rock.MayHaveRun).Because(err)
	}
	return rock.Fail(r.op, r.subject, rock.ReasonOf(err), rock.NotRun).Because(err)
}
