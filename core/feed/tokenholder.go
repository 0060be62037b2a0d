package feed

import rock "bramleyrock"

// tokenHolder is the identity of a token's holder, with the digest of the token.
type tokenHolder struct {
	digest   string
	identity rock.Identity
}
