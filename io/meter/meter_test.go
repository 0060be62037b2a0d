package meter_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"bramleyrock/io/meter"

	"gotest.tools/v3/assert"
)

func TestHandlerShowsCounter(t *testing.T) {
	m, err := meter.New(map[string]string{"entry": "a1"})
	assert.NilError(t, err)
	m.Scope().SubScope("front").Counter("requests").Inc(3)
	assert.NilError(t, m.Close())
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), `bramleyrock_front_requests{entry="a1"} 3`), w.Body.String())
}
