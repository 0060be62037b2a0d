package entry

import (
	"context"
	"time"

	rock "bramleyrock"
)

// registerInterval is the time between looks at what registration waits for.
const registerInterval = 50 * time.Millisecond

// register lets the entry place on the hosts of its zone once that is safe.
//
// A host is released from its pool when every registered entry has said that
// it does nothing there any more. An entry that is not registered yet is not
// asked. It therefore places nothing until its status row is written and a
// configuration is in force that is as new as the platform's was after that:
// if a drain was committed before, the entry knows of it, and if it is
// committed later, the entry is asked.
func (e *Entry) register(ctx context.Context) error {
	if !until(ctx, e.roster.Registered) {
		return nil
	}
	var newest rock.Revision
	read := func() bool {
		revision, err := e.books.Head(ctx)
		newest = revision
		return err == nil
	}
	if !until(ctx, read) {
		return nil
	}
	if until(ctx, func() bool { return e.books.Revision() >= newest }) {
		e.placing.Store(true)
	}
	return nil
}

// until waits until ok returns true and reports false if ctx ended before.
func until(ctx context.Context, ok func() bool) bool {
	for !ok() {
		wait(ctx, registerInterval)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}
