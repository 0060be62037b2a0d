package eject

import (
	"crypto/sha256"

	rock "bramleyrock"
)

// workID tells a piece of work from others: the digest of its organisation,
// pool and payload.
type workID [sha256.Size]byte

// workIDOf returns the id of the work of a request.
func workIDOf(r rock.Request) workID {
	h := sha256.New()
	h.Write([]byte(r.Organisation()))
	h.Write([]byte{0})
	h.Write([]byte(r.Pool()))
	h.Write([]byte{0})
	h.Write(r.Payload())
	return workID(h.Sum(nil))
}
