// Package calls sends HTTP requests for the clients of the platform and of
// targets, and tells whether a request can have reached the other end.
//
// # Usage
//
//	client := &http.Client{Transport: calls.NewTransport(calls.Limits{PerHost: 16})}
//	resp, sent, err := calls.Do(client, req)
//	if err != nil && !sent {
//		// No byte of the request left this process.
//	}
package calls
