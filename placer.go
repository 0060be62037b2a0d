package rock

import "time"

// Placer chooses the hosts on which tasks run.
type Placer interface {
	// Choose returns a host of the pool with a free slot and counts the task as
	// in flight there; avoid lists hosts that must not be chosen. It returns a
	// [NoHost] failure if there is no such host.
	Choose(now time.Time, pool string, avoid []string) (Host, error)
	// Done ends a task that Choose counted on the host. The duration and error
	// of the task are used for later choices.
	Done(now time.Time, host string, took time.Duration, err error)
}
