package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"time"
)

// digestBytes is how much of a key's digest a closing keeps.
const digestBytes = 12

// ClosingRecord is the statement of a home that ends: it claims no more keys, and
// these are all that it claimed and that had not expired. A key of the same
// incarnation that had not expired and is not among them never ran and never
// will.
type ClosingRecord struct {
	// Incarnation is the incarnation of the home.
	Incarnation string `json:"incarnation"`
	// ClosedAt is the home's time of the statement.
	ClosedAt time.Time `json:"closed_at"`
	// Claimed holds the digests of the claimed keys, in order.
	Claimed []string `json:"claimed"`
}

// ProvesNotRun reports whether the statement proves that the key did not run.
func (c ClosingRecord) ProvesNotRun(k Key, text string) bool {
	if k.Incarnation() != c.Incarnation || !c.ClosedAt.Before(k.Expires()) {
		return false
	}
	_, claimed := slices.BinarySearch(c.Claimed, digest(text))
	return !claimed
}

// digest returns a short digest of a key's text.
func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return base64.RawURLEncoding.EncodeToString(sum[:digestBytes])
}
