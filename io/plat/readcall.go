package plat

// ReadRequest asks for rows by key.
type ReadRequest struct {
	Keys []string `json:"keys"`
}
