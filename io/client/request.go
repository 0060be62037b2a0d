package client

import (
	"context"
	"encoding/json"
	"net/url"

	rock "bramleyrock"
)

// Request is a request that a caller sends to a pool.
type Request struct {
	// Payload is the JSON value for the target.
	Payload json.RawMessage `json:"payload"`
	// TimeoutMS is how long the caller waits, in milliseconds.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
	// Class is the queueing class; "" means normal.
	Class rock.Class `json:"class,omitempty"`
	// Idempotent is true if running the request twice is harmless.
	Idempotent bool `json:"idempotent,omitempty"`
	// IdempotencyKey identifies retries of the same request; "" means none.
	IdempotencyKey string `json:"idempotency_key,omitempty"`
}

// Call sends a request to the pool and returns its complete answer.
func (c *Client) Call(ctx context.Context, pool string, r Request) (Answer, error) {
	var a Answer
	err := c.post(ctx, "/v1/pools/"+url.PathEscape(pool)+"/requests", r, &a)
	return a, err
}
