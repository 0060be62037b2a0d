// Package route takes requests through an entry: it queues them, gives each a
// host of the entry's availability zone, runs it there, tries again where that
// is safe, and forwards to entries of other zones what they can do sooner.
//
// Every error carries a verdict. It is not_run only if no attempt can have
// reached a target.
//
// # Usage
//
//	e := route.New(route.Settings{
//		Member: member, Fleet: follower, Target: target, Peers: links,
//		Random: random, Log: log, Group: duties,
//	})
//	answer, err := e.Do(ctx, request)
//
// A stop waits for all requests that the engine has taken:
//
//	left := e.Drain(ctx)
package route
