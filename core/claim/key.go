package claim

import "time"

// Key is an idempotency key that an entry issued.
type Key struct {
	issuer      string
	incarnation string
	expires     time.Time
}

// Issuer returns the name of the entry that issued the key.
func (k Key) Issuer() string { return k.issuer }

// Incarnation returns the incarnation of the home that issued the key.
func (k Key) Incarnation() string { return k.incarnation }

// Expires returns the time from which on the key is refused.
func (k Key) Expires() time.Time { return k.expires }
