package plat

// RebootRequest asks for a reboot, once for each id.
type RebootRequest struct {
	ID string `json:"id"`
}
