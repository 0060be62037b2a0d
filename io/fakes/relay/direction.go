package relay

// Direction is one of the two directions of a link.
type Direction string

// The directions.
const (
	// Calls go from the client to the target.
	Calls Direction = "calls"
	// Answers go from the target to the client.
	Answers Direction = "answers"
)
