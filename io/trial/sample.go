package trial

import (
	"time"

	rock "bramleyrock"
)

// sample is what became of one request.
type sample struct {
	pool    string
	verdict rock.Verdict
	reason  rock.Reason
	delay   time.Duration
}
