package claim

import "time"

// Key holds the parts of a verified idempotency key.
type Key struct {
	issuer      string
	incarnation string
	expires     time.Time
}

// Issuer returns the name of the entry that issued the key.
func (k Key) Issuer() string { return k.issuer }

// Incarnation returns the incarnation of the entry that issued the key.
func (k Key) Incarnation() string { return k.incarnation }

// Expires returns the time at which the key expires; from then on it is refused.
func (k Key) Expires() time.Time { return k.expires }
