package rock

import "context"

// HostList lists, drains and reboots hosts through the platform. The list may lag
// behind the actual state of the hosts.
type HostList interface {
	// List returns the hosts that the platform knows.
	List(ctx context.Context) ([]HostStatus, error)
	// Drain asks the platform to start no more work on the host.
	Drain(ctx context.Context, host string) error
	// Undrain revokes a drain.
	Undrain(ctx context.Context, host string) error
	// Reboot restarts the host. The id makes the call idempotent.
	Reboot(ctx context.Context, host, id string) error
}
