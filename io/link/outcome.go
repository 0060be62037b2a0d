package link

// progress is how far a call came.
type progress string

// How far a call can come.
const (
	// progressUnsent means that no byte was handed to the connection.
	progressUnsent progress = "unsent"
	// progressBroken means that the connection broke after the call was sent
	// and before its answer came.
	progressBroken progress = "broken"
	// progressLeft means that the caller left before the answer came.
	progressLeft progress = "left"
	// progressAnswered means that the peer answered.
	progressAnswered progress = "answered"
)

// outcome is what became of a call.
type outcome struct {
	id       uint64
	progress progress
	body     []byte
	err      error
}
