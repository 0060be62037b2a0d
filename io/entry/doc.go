// Package entry joins the parts of an entry process: its doors, the request
// path, the configuration, the links to other entries and the duties.
//
// # Usage
//
//	e, err := entry.New(entry.Settings{Name: "a1", Zone: "a", Platform: platformURL, ...})
//	if err != nil {
//		return err
//	}
//	err = e.Run(ctx, hard) // returns after a graceful stop
//
// When ctx ends, the entry stops gracefully: its readiness fails, the balancer
// is given time to notice, requests in flight are answered, and its status row
// says that it is gone. When hard ends too, what is still in flight is cut and
// named in the error.
package entry
