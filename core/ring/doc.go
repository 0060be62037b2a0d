// Package ring implements a bounded first-in, first-out buffer between
// goroutines.
//
// # Usage
//
//	r := ring.New[Event](64)
//	if !r.Put(e) {
//		// The buffer is full; e is dropped and counted in r.Dropped.
//	}
//	e, err := r.Take(ctx)
//
// A ring never blocks its writer, so that a slow reader cannot delay it.
package ring
