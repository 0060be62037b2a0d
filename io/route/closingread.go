package route

import (
	"time"

	"bramleyrock/core/claim"
)

// closingRead is a statement as read at a time.
type closingRead struct {
	at      time.Time
	closing claim.ClosingRecord
}
