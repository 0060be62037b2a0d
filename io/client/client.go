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
	// maxAnswerBytes is the number of bytes after which an answer is truncated.
	maxAnswerBytes = 64 << 20
)

// Client sends requests to one door of an entry. It is safe for concurrent use.
type Client struct {
	base       *sling.Sling
	httpClient *http.Client
	baseURL    string
}

// New returns a client of the door at s.BaseURL.
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
		base:       base,
		httpClient: &http.Client{Timeout: s.Timeout, Transport: transport},
		baseURL:    s.BaseURL,
	}
}

// get sends a GET request for path and decodes the response into answer. A nil
// query means that there is none.
func (c *Client) get(ctx context.Context, path string, query, answer any) error {
	return c.do(ctx, c.base.New().Get(path).QueryStruct(query), "get "+path, answer)
}

// post sends a POST request with body as JSON to path and decodes the response
// into answer.
func (c *Client) post(ctx context.Context, path string, body, answer any) error {
	return c.do(ctx, c.base.New().Post(path).BodyJSON(body), "post "+path, answer)
}

// do sends the request and decodes the response into answer, unless answer is nil.
func (c *Client) do(ctx context.Context, s *sling.Sling, op string, answer any) error {
	request, err := s.Request()
	if err != nil {
		return rock.Fail(op, c.baseURL, rock.BadInput, rock.NotRun).Because(err)
	}
	resp, err := c.httpClient.Do(request.WithContext(ctx))
	if err != nil {
		return c.noAnswerFailure(op, err)
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
		return rock.Fail(op, c.baseURL, rock.Truncated, rock.MayHaveRun).Because(err)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return rock.Fail(op, c.baseURL, rock.Truncated, rock.MayHaveRun).Because(fmt.Errorf("decode answer: %w", err))
	}
	return nil
}

// noAnswerFailure returns the failure of a request without a response: its outcome
// is unknown unless no connection could be established.
func (c *Client) noAnswerFailure(op string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return rock.Fail(op, c.baseURL, rock.Unavailable, rock.NotRun).Because(err)
	}
	return rock.Fail(op, c.baseURL, rock.OutcomeUnknown, rock.MayHaveRun).Because(err)
}
