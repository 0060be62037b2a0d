package plat

// ReadCall asks for rows by key.
type ReadCall struct {
	Keys []string `json:"keys"`
}
