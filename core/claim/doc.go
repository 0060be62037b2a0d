// Package claim decides whether a request that is not idempotent may run, so
// that all sends of one idempotency key run at most once.
//
// An idempotency key is issued by an entry, its home, and carries the home's
// name and incarnation, the time at which it expires, and a message
// authentication code under the secret that the entries share. Every entry
// sends a request with the key to the key's home. The home keeps a [Registry] in
// memory of the keys that were claimed and of their outcomes until the keys
// expire, so the platform is not needed. A home that was restarted has another
// incarnation and refuses the keys of the earlier one: nobody knows any more
// whether they were claimed.
//
// # Usage
//
//	ring := claim.NewKeyring(secret)
//	text := ring.Issue(claim.KeySpec{Home: "e1", Incarnation: id, Expires: expiry, Nonce: nonce}, "alpha")
//
//	key, err := ring.Open(text, "alpha")
//	...
//	claimed, err := book.Claim(now, text, key.Expires())
//	switch {
//	case err != nil:
//		return err // refused
//	case claimed.State() == claim.Fresh:
//		answer, err := run(request)
//		book.Settle(now, text, claim.NewOutcome(answer, err))
//	case claimed.State() == claim.Running:
//		// Wait for the outcome of the first send.
//	case claimed.State() == claim.Settled:
//		return claimed.Outcome().Result()
//	}
package claim
