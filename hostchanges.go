package rock

import "context"

// HostChanges is implemented by a [HostList] that can tell its changes, so that
// following it does not cost the whole list at each reading.
type HostChanges interface {
	// Changed returns the hosts whose line changed since the cursor in its
	// state, its boots, or between no lease and some. A cursor that is empty or
	// that the platform does not know gives the whole list. A call that fails
	// changes nothing, and is repeated with the same cursor.
	Changed(ctx context.Context, since HostCursor) (HostUpdate, error)
}
