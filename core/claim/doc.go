// Package claim deduplicates requests that are not idempotent: of all requests
// with one idempotency key, at most one runs.
//
// An idempotency key is issued by an entry. It carries the issuer's name and
// incarnation, the time at which it expires, and a message authentication code
// under the secret that the entries share. Every entry forwards a request with
// the key to the key's issuer. The issuer holds the claimed keys and their
// outcomes in a [Registry], in memory, until the keys expire; the platform is not
// needed for that. An issuer that was restarted has another incarnation and
// refuses the keys of the earlier one, since whether they were claimed is not
// known any more.
//
// # Usage
//
//	keyring := claim.NewKeyring(secret)
//	text := keyring.Issue(claim.KeySpec{Issuer: "e1", Incarnation: id, Expires: expiry, Nonce: nonce}, "alpha")
//
//	key, err := keyring.Verify(text, "alpha")
//	...
//	result, err := registry.Claim(now, text, key.Expires())
//	switch {
//	case err != nil:
//		return err // refused
//	case result.State() == claim.Fresh:
//		answer, err := run(request)
//		registry.RecordOutcome(now, text, claim.NewOutcome(answer, err))
//	case result.State() == claim.Running:
//		// Wait for the outcome of the earlier request.
//	case result.State() == claim.Settled:
//		return result.Outcome().Result()
//	}
package claim
