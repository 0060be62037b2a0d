package plat

// ScanRequest asks for up to Limit rows whose keys begin with Prefix and are
// greater than After.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}
