package client

import (
	"context"
	"time"
)

// Keys holds idempotency keys that an entry issued.
type Keys struct {
	// Keys lists the keys.
	Keys []string `json:"keys"`
	// ExpiresAt is the time from which the keys are refused.
	ExpiresAt time.Time `json:"expires_at"`
}

// keysRequest is the body of a request that issues keys.
type keysRequest struct {
	Count int `json:"count"`
}

// IssueKeys returns count new idempotency keys.
func (c *Client) IssueKeys(ctx context.Context, count int) (Keys, error) {
	var k Keys
	err := c.post(ctx, "/v1/keys", keysRequest{Count: count}, &k)
	return k, err
}
