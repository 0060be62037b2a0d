package work

import (
	"net/http"

	"bramleyrock/io/targ"
)

// taskWriter adds the header of a task's answer to a response that is written
// in one piece.
type taskWriter struct {
	http.ResponseWriter
	taskID string
	status int
}

// WriteHeader keeps the status until the body is known.
func (t *taskWriter) WriteHeader(status int) { t.status = status }

// Write writes the whole response.
func (t *taskWriter) Write(body []byte) (int, error) {
	targ.SetAnswerHeader(t.Header(), t.taskID, body)
	t.ResponseWriter.WriteHeader(t.status)
	return t.ResponseWriter.Write(body)
}
