package feed

import rock "bramleyrock"

// tokenHolder is the digest of a token with the identity of its holder.
type tokenHolder struct {
	digest   string
	identity rock.Identity
}
