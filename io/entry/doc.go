// Package entry assembles an entry process: the doors (HTTP listeners for
// callers, operators and peers), the request path, the configuration, the links
// to other entries, the duties (background work that one entry at a time does),
// and long-running jobs.
//
// # Usage
//
//	e, err := entry.New(entry.Settings{Name: "a1", Zone: "a", PlatformURL: platformURL, ...})
//	if err != nil {
//		return err
//	}
//	err = e.Run(ctx, hard) // returns after a graceful stop
//
// When ctx ends, the entry shuts down gracefully: it reports that it is not
// ready, waits until the load balancer has had time to notice, completes the
// requests in flight, and sets its status row to gone. When hard ends too, or
// after [Settings.StopTimeout], the requests still in flight are cut off and Run
// returns an error with their number.
package entry
