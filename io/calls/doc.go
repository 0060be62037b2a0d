// Package calls sends HTTP requests for the clients of the platform and of
// targets, and reports whether a request may have reached the server.
//
// # Usage
//
//	client := &http.Client{Transport: calls.NewTransport(calls.Limits{PerHost: 16})}
//	resp, sent, err := calls.Do(client, req)
//	if err != nil && !sent {
//		// No byte of the request left this process.
//	}
package calls
