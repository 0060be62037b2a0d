package feed

import rock "bramleyrock"

// holder is the digest of a token with the identity of its holder.
type holder struct {
	digest   string
	identity rock.Identity
}
