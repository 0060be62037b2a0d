package books

import rock "bramleyrock"

// hint is a revision that a peer reports to have in force.
type hint struct {
	revision rock.Revision
	peer     rock.Peer
}

// Hint reports that the peer has the revision in force. If it is newer than the
// one in force at this entry, [Books.Follow] polls at once instead of at the next
// interval. Hint never blocks; the hint is dropped if too many are queued.
func (b *Books) Hint(revision rock.Revision, peer rock.Peer) {
	if s := b.state.Load(); s.known && revision <= s.config.Revision() {
		return
	}
	b.hints.Put(hint{revision: revision, peer: peer})
}
