package trial

import (
	"context"

	"bramleyrock/io/client"
	"bramleyrock/io/entry"
)

// runningEntry is an entry of a site, with the clients that call it.
type runningEntry struct {
	entry    *entry.Entry
	caller   *callers
	operator *client.Client
	stop     context.CancelFunc
	ended    chan error
}
