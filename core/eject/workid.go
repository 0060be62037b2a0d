package eject

import (
	"crypto/sha256"

	rock "bramleyrock"
)

// workID identifies a piece of work. It is the SHA-256 digest of the request's
// organisation, pool and payload.
type workID [sha256.Size]byte

// workIDOf returns the id of a request's work.
func workIDOf(r rock.Request) workID {
	h := sha256.New()
	h.Write([]byte(r.Organisation()))
	h.Write([]byte{0})
	h.Write([]byte(r.Pool()))
	h.Write([]byte{0})
	h.Write(r.Payload())
	return workID(h.Sum(nil))
}
