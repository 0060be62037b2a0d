// Package group runs named goroutines that end together.
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
// The first goroutine that returns an error cancels the context of all others.
package group
