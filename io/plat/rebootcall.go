package plat

// RebootCall asks for a reboot, once for each id.
type RebootCall struct {
	ID string `json:"id"`
}
