package door

import (
	"io"
	"net/http"
	"time"
)

// timedBody is the body of a request that must be read whole before a
// deadline. The deadline is lifted when the body ends, so that it does not cut
// off the work on the request.
type timedBody struct {
	io.ReadCloser
	connection *http.ResponseController
}

// newTimedBody returns the body with the deadline set.
func newTimedBody(body io.ReadCloser, w http.ResponseWriter, deadline time.Time) *timedBody {
	b := &timedBody{ReadCloser: body, connection: http.NewResponseController(w)}
	b.limit(deadline)
	return b
}

// Read implements [io.Reader].
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.limit(time.Time{})
	}
	return n, err
}

// limit sets the deadline; the zero time means none.
func (b *timedBody) limit(deadline time.Time) {
	// A connection that knows no deadlines is not limited.
	_ = b.connection.SetReadDeadline(deadline)
}
