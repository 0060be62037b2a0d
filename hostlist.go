package rock

import "context"

// HostList is the platform's lagging view of hosts, and its means to drain
// and reboot them.
type HostList interface {
	// List returns the hosts that the platform knows.
	List(ctx context.Context) ([]HostStatus, error)
	// Drain asks the platform to stop starting work on the host.
	Drain(ctx context.Context, host string) error
	// Undrain takes a drain back.
	Undrain(ctx context.Context, host string) error
	// Reboot restarts the host. The id makes the call idempotent.
	Reboot(ctx context.Context, host, id string) error
}
