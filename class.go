package rock

// Class is the priority class of a request within its pool's queue.
type Class string

// The classes.
const (
	// Urgent requests go before all normal requests of their pool.
	Urgent Class = "urgent"
	// Normal is the class of requests that specify none.
	Normal Class = "normal"
)

// Valid reports whether c is one of the defined classes.
func (c Class) Valid() bool { return c == Urgent || c == Normal }
