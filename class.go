package rock

// Class orders work within a pool's queue.
type Class string

// The classes.
const (
	// Urgent work goes before all normal work of its pool.
	Urgent Class = "urgent"
	// Normal is the class of work that names none.
	Normal Class = "normal"
)

// Valid reports whether c is one of the defined classes.
func (c Class) Valid() bool { return c == Urgent || c == Normal }
