package door

import (
	"io"
	"net/http"
	"time"
)

// deadlineBody is the body of a request that must be read whole before a
// deadline. The deadline is lifted when the body ends, so that it does not cut
// off the work on the request.
type deadlineBody struct {
	io.ReadCloser
	connection *http.ResponseController
}

// newDeadlineBody returns the body with the deadline set.
func newDeadlineBody(body io.ReadCloser, w http.ResponseWriter, deadline time.Time) *deadlineBody {
	b := &deadlineBody{ReadCloser: body, connection: http.NewResponseController(w)}
	b.setDeadline(deadline)
	return b
}

// Read implements [io.Reader].
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.setDeadline(time.Time{})
	}
	return n, err
}

// setDeadline sets the deadline; the zero time means none.
func (b *deadlineBody) setDeadline(deadline time.Time) {
	// A connection that knows no deadlines is not limited.
	_ = b.connection.SetReadDeadline(deadline)
}
