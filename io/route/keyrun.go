package route

import "bramleyrock/core/claim"

// keyRun is the run of the request that claimed a key. The outcome may be read
// only after done is closed.
type keyRun struct {
	done    chan struct{}
	outcome claim.Outcome
}
