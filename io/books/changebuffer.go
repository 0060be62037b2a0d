package books

import (
	rock "bramleyrock"
)

// maxRecent is the greatest number of changes held for peers that lag behind.
const maxRecent = 4096

// changeBuffer holds the last changes, with consecutive revisions. It is not safe
// for concurrent use. The zero value is empty.
type changeBuffer struct {
	changes []rock.Change
}

// add appends changes. If they do not follow on from the changes held, those are
// dropped.
func (r *changeBuffer) add(changes []rock.Change) {
	if len(changes) == 0 {
		return
	}
	if n := len(r.changes); n > 0 && r.changes[n-1].Revision()+1 != changes[0].Revision() {
		r.changes = nil
	}
	r.changes = append(r.changes, changes...)
	if n := len(r.changes) - maxRecent; n > 0 {
		r.changes = append([]rock.Change(nil), r.changes[n:]...)
	}
}

// after returns up to limit changes after the revision, and false if some of
// them are no longer held.
func (r *changeBuffer) after(revision rock.Revision, limit int) ([]rock.Change, bool) {
	if len(r.changes) == 0 || r.changes[0].Revision() > revision+1 {
		return nil, false
	}
	skip := int(revision + 1 - r.changes[0].Revision())
	if skip >= len(r.changes) {
		return nil, true
	}
	found := r.changes[skip:]
	found = found[:min(limit, len(found))]
	return append([]rock.Change(nil), found...), true
}
