package plat

// ScanCall asks for up to Limit rows whose keys begin with Prefix and are
// greater than After.
type ScanCall struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}
