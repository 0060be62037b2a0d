package plat

// ScanRequest is the body of a request that reads up to Limit rows whose keys
// begin with Prefix and are greater than After.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}
