package books

import rock "bramleyrock"

// hint says that a peer has a revision in force.
type hint struct {
	revision rock.Revision
	peer     rock.Peer
}

// Hint tells that the peer has the revision in force. If it is newer than the
// own one, [Books.Follow] fetches it at once. Hint never blocks.
func (b *Books) Hint(revision rock.Revision, peer rock.Peer) {
	if s := b.state.Load(); s.known && revision <= s.config.Revision() {
		return
	}
	b.hints.Put(hint{revision: revision, peer: peer})
}
