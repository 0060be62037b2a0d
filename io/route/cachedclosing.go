package route

import (
	"time"

	"bramleyrock/core/claim"
)

// cachedClosing is the closing record of an entry and the time of the read. The
// record is empty if none was found.
type cachedClosing struct {
	readAt time.Time
	record claim.ClosingRecord
}
