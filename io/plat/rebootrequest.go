package plat

// RebootRequest is the body of a request that reboots a host. Requests with the
// same id cause one reboot.
type RebootRequest struct {
	ID string `json:"id"`
}
