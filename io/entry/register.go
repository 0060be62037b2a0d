package entry

import (
	"context"
	"time"

	rock "bramleyrock"
)

// registerInterval is the time between checks of a condition for registration.
const registerInterval = 50 * time.Millisecond

// register waits until the entry may place requests on the hosts of its
// availability zone, and then allows it.
//
// A host is released from its pool once every registered entry has reported that
// it has no work on the host. Entries that are not registered are not considered.
// The entry therefore places nothing until its status row is written and the
// configuration in force is at least as new as the platform's was after that
// write. A drain that was committed before is then part of the configuration, and
// the release after a later drain waits for this entry's report.
func (e *Entry) register(ctx context.Context) error {
	if !waitUntil(ctx, e.roster.Registered) {
		return nil
	}
	var headRevision rock.Revision
	readHead := func() bool {
		revision, err := e.books.Head(ctx)
		headRevision = revision
		return err == nil
	}
	if !waitUntil(ctx, readHead) {
		return nil
	}
	if waitUntil(ctx, func() bool { return e.books.Revision() >= headRevision }) {
		e.placementAllowed.Store(true)
	}
	return nil
}

// waitUntil polls ok until it returns true. It returns false if ctx ends first.
func waitUntil(ctx context.Context, ok func() bool) bool {
	for !ok() {
		sleep(ctx, registerInterval)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}
