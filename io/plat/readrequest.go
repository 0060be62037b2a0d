package plat

// ReadRequest is the body of a request that reads rows by key.
type ReadRequest struct {
	Keys []string `json:"keys"`
}
