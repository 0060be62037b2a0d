package trace

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest returns the SHA-256 digest of an answer's bytes, as sha256:<hex>.
func Digest(answer []byte) string {
	sum := sha256.Sum256(answer)
	return "sha256:" + hex.EncodeToString(sum[:])
}
