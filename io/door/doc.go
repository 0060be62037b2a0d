// Package door serves an HTTP handler on an address of its own, within limits
// that are refused with a problem body and a verdict.
//
// A request whose header is too large, or that arrives when too many
// connections are open, is answered with a problem whose verdict is not_run. A
// request that is not read whole within the read timeout fails in the handler's
// read of the body.
//
// # Usage
//
//	d := door.New(door.Settings{Name: "caller", Address: "127.0.0.1:7010", Handler: mux, Log: log})
//	if err := d.Listen(); err != nil {
//		return err
//	}
//	g.Go("caller door", d.Serve)
//	...
//	err := d.Close(ctx) // waits for the requests in progress
package door
