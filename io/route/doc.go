// Package route runs requests of callers on hosts. It queues each request,
// assigns it a host of the entry's availability zone and runs it there. It
// retries a failed attempt if that is safe, and forwards requests to entries of
// other zones that are expected to run them sooner.
//
// Every error carries a verdict. It is not_run only if no attempt can have
// reached a target.
//
// # Idempotency keys
//
// A request that is not idempotent but has an idempotency key runs at most
// once. Every key has an owner, the one entry that runs its requests and
// records their outcome; other entries forward them to it. The owner of a key
// that an entry issued is the issuer, which is named in the key. The owner of a
// key that a caller chose is the claimant, the entry whose claim row for the
// key is in the platform's table.
//
// # Usage
//
//	e := route.New(route.Settings{
//		Member: member, Fleet: follower, Target: target, Peers: links,
//		Random: random, Log: log, Group: tasks,
//	})
//	answer, err := e.Do(ctx, request)
//
// Before the entry stops, Drain waits for the requests in progress:
//
//	unfinished := e.Drain(ctx)
package route
