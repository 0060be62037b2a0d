package claim

import "time"

// KeySpec holds the parts of a key to be issued.
type KeySpec struct {
	// Issuer is the name of the issuing entry.
	Issuer string
	// Incarnation is the incarnation of the issuing entry.
	Incarnation string
	// Expires is the time from which on the key is refused.
	Expires time.Time
	// Nonce tells the key from all others of the incarnation.
	Nonce string
}
