package client

import (
	"context"
	"time"
)

// Keys are idempotency keys as issued by an entry.
type Keys struct {
	// Keys are the keys.
	Keys []string `json:"keys"`
	// ExpiresAt is the time from which on the keys are refused.
	ExpiresAt time.Time `json:"expires_at"`
}

// keysForm is the body of a request for keys.
type keysForm struct {
	Count int `json:"count"`
}

// IssueKeys returns count new idempotency keys.
func (c *Client) IssueKeys(ctx context.Context, count int) (Keys, error) {
	var k Keys
	err := c.post(ctx, "/v1/keys", keysForm{Count: count}, &k)
	return k, err
}
