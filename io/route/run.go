package route

import "bramleyrock/core/claim"

// run is the run of a claimed key. Its outcome may be read once done is closed.
type run struct {
	done    chan struct{}
	outcome claim.Outcome
}
