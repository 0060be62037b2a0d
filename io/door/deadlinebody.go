package door

import (
	"io"
	"net/http"
	"time"
)

// deadlineBody is the body of a request that must be read to its end before a
// deadline. The end of the body clears the read deadline of the connection;
// otherwise it would cancel the request while the handler works on it.
type deadlineBody struct {
	io.ReadCloser
	connection *http.ResponseController
}

// newDeadlineBody wraps body and sets the read deadline of its connection.
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

// setDeadline sets the read deadline; the zero time means none.
func (b *deadlineBody) setDeadline(deadline time.Time) {
	// The error is ignored: a connection without support for deadlines has no
	// limit.
	_ = b.connection.SetReadDeadline(deadline)
}
