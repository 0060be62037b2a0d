package route

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// rowPrefix begins the keys of all claim rows.
const rowPrefix = "claim/"

// rowForm is the JSON form of a claim row: which send claimed an idempotency
// key that its caller chose, and where.
type rowForm struct {
	Home        string    `json:"home"`
	Incarnation string    `json:"incarnation"`
	RequestID   string    `json:"request_id"`
	ExpiresAt   time.Time `json:"expires_at"`
}

// rowKey returns the key of the claim row of an idempotency key.
func rowKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(key))
	return rowPrefix + organisation + "/" + hex.EncodeToString(sum[:])
}
