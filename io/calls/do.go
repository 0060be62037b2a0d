package calls

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Do sends a request with the client. If it returns an error, sent reports
// whether the request may have reached the server: it is true as soon as the
// request got a connection, since bytes may have been written to it.
func Do(c *http.Client, r *http.Request) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	resp, err = c.Do(r)
	return resp, connected.Load(), err
}
