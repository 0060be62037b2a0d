package entry

import (
	"context"
	"time"

	rock "bramleyrock"
)

// ServeForward implements [rock.PeerServer].
func (e *Entry) ServeForward(ctx context.Context, r rock.Request) (rock.Answer, error) {
	return e.engine.ServeForward(ctx, r)
}

// ServeHeartbeat implements [rock.PeerServer].
func (e *Entry) ServeHeartbeat(context.Context, rock.Heartbeat) (rock.Heartbeat, error) {
	return e.heartbeat(time.Now()), nil
}

// ServeChanges implements [rock.PeerServer].
func (e *Entry) ServeChanges(_ context.Context, after rock.Revision, limit int) ([]rock.Change, error) {
	return e.books.Changes(after, limit)
}

// ServeSnapshot implements [rock.PeerServer].
func (e *Entry) ServeSnapshot(context.Context) (rock.Revision, []rock.Record, error) {
	return e.books.Snapshot()
}

// heartbeat returns the heartbeat that the entry sends to its peers: its revision,
// whether it is leaving, and the load of its pools.
func (e *Entry) heartbeat(now time.Time) rock.Heartbeat {
	return rock.NewHeartbeat(e.member, e.books.Revision(), e.leaving.Load(), e.engine.Loads(now))
}
