package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	rock "bramleyrock"
	"bramleyrock/io/probl"

	"github.com/dghubble/sling"
)

const (
	// defaultTimeout bounds a call whose context has no earlier deadline.
	defaultTimeout = 30 * time.Second
	// maxAnswerBytes is the greatest answer that is read, in bytes.
	maxAnswerBytes = 64 << 20
)

// Client calls one door. It is safe for concurrent use.
type Client struct {
	base  *sling.Sling
	doer  *http.Client
	where string
}

// New returns a client of the door.
func New(s Settings) *Client {
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	base := sling.New().Base(s.BaseURL)
	if s.Token != "" {
		base.Set("Authorization", "Bearer "+s.Token)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 256
	return &Client{
		base:  base,
		doer:  &http.Client{Timeout: s.Timeout, Transport: transport},
		where: s.BaseURL,
	}
}

// get reads path with the query into answer. A nil query means none.
func (c *Client) get(ctx context.Context, path string, query, answer any) error {
	return c.do(ctx, c.base.New().Get(path).QueryStruct(query), "get "+path, answer)
}

// post sends body to path and reads the answer.
func (c *Client) post(ctx context.Context, path string, body, answer any) error {
	return c.do(ctx, c.base.New().Post(path).BodyJSON(body), "post "+path, answer)
}

func (c *Client) do(ctx context.Context, s *sling.Sling, op string, answer any) error {
	request, err := s.Request()
	if err != nil {
		return rock.Fail(op, c.where, rock.BadInput, rock.NotRun).Because(err)
	}
	resp, err := c.doer.Do(request.WithContext(ctx))
	if err != nil {
		return c.lost(op, err)
	}
	defer resp.Body.Close()
	if err := probl.Read(resp); err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return rock.Fail(op, c.where, rock.Truncated, rock.MayHaveRun).Because(err)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return rock.Fail(op, c.where, rock.Truncated, rock.MayHaveRun).Because(fmt.Errorf("decode answer: %w", err))
	}
	return nil
}

// lost returns the failure of a call that got no answer.
func (c *Client) lost(op string, err error) error {
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return rock.Fail(op, c.where, rock.Unavailable, rock.NotRun).Because(err)
	}
	return rock.Fail(op, c.where, rock.OutcomeUnknown, rock.MayHaveRun).Because(err)
}
