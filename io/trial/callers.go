package trial

import "bramleyrock/io/client"

// callers calls an entry for each organisation, whose name is that of its pool.
type callers struct {
	byPool map[string]*client.Client
}

// newCallers returns the callers of the entry's caller door.
func newCallers(address string, pools []string) *callers {
	c := &callers{byPool: map[string]*client.Client{}}
	for _, p := range pools {
		c.byPool[p] = client.New(client.Settings{BaseURL: "http://" + address, Token: callerToken(p)})
	}
	return c
}

// callerToken returns the token of the pool's organisation.
func callerToken(pool string) string { return "trial-caller-" + pool }
