// Package ring joins two duties by a bounded first-in, first-out buffer.
//
// # Usage
//
//	r := ring.New[Event](64)
//	if !r.Put(e) {
//		// The reader is behind; r.Dropped counts e.
//	}
//	e, err := r.Take(ctx)
//
// A ring never blocks its writer, so that a slow duty cannot hold up another.
package ring
