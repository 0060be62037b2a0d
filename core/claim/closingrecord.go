package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"time"
)

// digestBytes is the length of a key's digest in a [ClosingRecord], in bytes.
const digestBytes = 12

// ClosingRecord lists the claimed, unexpired keys of an issuing entry that has
// shut down and claims no more keys. It is complete: a key of the same
// incarnation that had not expired by then and is not listed did not run and
// never will.
type ClosingRecord struct {
	// Incarnation is the incarnation of the issuing entry.
	Incarnation string `json:"incarnation"`
	// ClosedAt is when the record was made, by the clock of the issuing entry.
	ClosedAt time.Time `json:"closed_at"`
	// Claimed holds the digests of the claimed keys, sorted.
	Claimed []string `json:"claimed"`
}

// ProvesNotRun reports whether the record proves that the request of the key
// with that text did not run.
func (c ClosingRecord) ProvesNotRun(k Key, text string) bool {
	if k.Incarnation() != c.Incarnation || !c.ClosedAt.Before(k.Expires()) {
		return false
	}
	_, claimed := slices.BinarySearch(c.Claimed, digest(text))
	return !claimed
}

// digest returns the truncated SHA-256 digest of a key's text, as base64url.
func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return base64.RawURLEncoding.EncodeToString(sum[:digestBytes])
}
