package record

// Action is what a wave does to each host.
type Action string

// The actions.
const (
	// RebootAction drains each host, reboots it and opens it again.
	RebootAction Action = "reboot"
	// DrainAction drains each host and opens it again.
	DrainAction Action = "drain"
)
