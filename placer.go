package rock

import "time"

// Placer chooses hosts for work.
type Placer interface {
	// Choose returns a host of the pool that may take one more task now and
	// counts the task as in flight there; avoid lists hosts already tried. It
	// returns a [NoHost] failure if there is none.
	Choose(now time.Time, pool string, avoid []string) (Host, error)
	// Done takes the task off the host's count and learns from its outcome.
	Done(now time.Time, host string, took time.Duration, err error)
}
