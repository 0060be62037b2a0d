package calls

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Do sends the request. It reports as sent a request for which a connection
// was had, since bytes of it may have left then, even if an error follows.
func Do(c *http.Client, r *http.Request) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	resp, err = c.Do(r)
	return resp, connected.Load(), err
}
