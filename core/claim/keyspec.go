package claim

import "time"

// KeySpec holds the parts of a key to be issued.
type KeySpec struct {
	// Issuer is the name of the issuing entry.
	Issuer string
	// Incarnation is the incarnation of the issuing entry.
	Incarnation string
	// Expires is the time at which the key expires.
	Expires time.Time
	// Nonce is unique among the keys of the incarnation.
	Nonce string
}
