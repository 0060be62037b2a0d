package calls_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"bramleyrock/io/calls"

	"gotest.tools/v3/assert"
)

// closedAddress returns an address on which no process listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// TestDoReportsSent compares a refused connection with an answer that is lost. If
// Do reported the lost one as not sent, callers would treat a request that may
// have run as not_run.
func TestDoReportsSent(t *testing.T) {
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer aborting.Close()
	tests := map[string]struct {
		url  string
		sent bool
	}{
		"refused":     {"http://" + closedAddress(t), false},
		"answer lost": {aborting.URL, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &http.Client{Transport: calls.NewTransport(calls.Limits{})}
			r, err := http.NewRequest(http.MethodPost, test.url, http.NoBody)
			assert.NilError(t, err)
			resp, sent, err := calls.Do(c, r)
			if err == nil {
				resp.Body.Close()
			}
			assert.Assert(t, err != nil)
			assert.Equal(t, sent, test.sent)
		})
	}
}
