package record

// Action is the action that a wave performs on each host.
type Action string

// The actions.
const (
	// RebootAction drains the host, reboots it and opens it to new work again.
	RebootAction Action = "reboot"
	// DrainAction drains the host and opens it to new work again.
	DrainAction Action = "drain"
)
