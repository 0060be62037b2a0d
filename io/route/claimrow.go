package route

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// claimRowPrefix is the prefix of the table keys of all claim rows.
const claimRowPrefix = "claim/"

// claimRow is the JSON form of a claim row. It names the request that claimed an
// idempotency key that its caller chose, and the entry that owns the key.
type claimRow struct {
	Home        string    `json:"home"`
	Incarnation string    `json:"incarnation"`
	RequestID   string    `json:"request_id"`
	ExpiresAt   time.Time `json:"expires_at"`
}

// claimRowKey returns the table key of the claim row of an idempotency key. The
// idempotency key is hashed, so that any text of a caller gives a valid table
// key.
func claimRowKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(key))
	return claimRowPrefix + organisation + "/" + hex.EncodeToString(sum[:])
}
