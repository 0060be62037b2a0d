package trial

import (
	"context"

	"bramleyrock/io/client"
	"bramleyrock/io/entry"
)

// station is an entry of a site.
type station struct {
	entry    *entry.Entry
	caller   *callers
	operator *client.Client
	stop     context.CancelFunc
	ended    chan error
}
