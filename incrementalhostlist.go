package rock

import "context"

// IncrementalHostList is implemented by a [HostList] that can tell its changes, so that
// following it does not cost the whole list at each reading.
type IncrementalHostList interface {
	// ChangesSince returns the hosts whose line changed in the aspect since the
	// cursor. A cursor that is empty or that the platform does not know gives
	// the whole list. A call that fails changes nothing, and is repeated with
	// the same cursor.
	ChangesSince(ctx context.Context, of HostChangeFilter, since HostCursor) (HostUpdate, error)
}
