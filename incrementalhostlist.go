package rock

import "context"

// IncrementalHostList is implemented by a [HostList] that can return only the
// changes since an earlier call, so that polling it does not transfer the whole
// list each time.
type IncrementalHostList interface {
	// ChangesSince returns the hosts with a change since the cursor that the
	// filter selects. If the cursor is empty or unknown to the platform, it
	// returns all hosts. A failed call has no effect and may be repeated with the
	// same cursor.
	ChangesSince(ctx context.Context, of HostChangeFilter, since HostCursor) (HostUpdate, error)
}
