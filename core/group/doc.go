// Package group starts the goroutines of the program, each under a name.
//
// # Usage
//
//	g := group.New(ctx)
//	g.Go("heartbeat", sendHeartbeats)
//	g.Go("feed", followFeed)
//	if err := g.Wait(); err != nil {
//		return err
//	}
//
// The first duty that returns an error cancels the context of all others.
package group
