// Package door runs an HTTP server on one address of a process, here called a
// door. It limits the size of headers, the number of connections and the time to
// read a request.
//
// A request whose header is too large, or that arrives when too many
// connections are open, is answered with a problem body with verdict not_run. If
// the body of a request does not arrive within the read timeout, the handler's
// read of the body fails.
//
// # Usage
//
//	d := door.New(door.Settings{Name: "caller", Address: "127.0.0.1:7010", Handler: mux, Log: log})
//	if err := d.Listen(); err != nil {
//		return err
//	}
//	g.Go("caller door", d.Serve)
//	...
//	err := d.Close(ctx) // waits for the requests in flight
package door
