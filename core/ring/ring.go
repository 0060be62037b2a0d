package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded buffer between duties. It is safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Put adds an item and reports whether there was room for it.
func (r *Ring[T]) Put(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Take removes the oldest item. It waits for one until ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// Poll removes the oldest item, if there is one.
func (r *Ring[T]) Poll() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var none T
		return none, false
	}
}

// Len returns the number of items held.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns how many items found no room.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
