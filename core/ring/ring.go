package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in, first-out buffer. It is safe for concurrent use.
type Ring[T any] struct {
	items   chan T
	dropped atomic.Uint64
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Put adds an item. If the ring is full, it drops the item and returns false.
func (r *Ring[T]) Put(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Take removes and returns the oldest item. If the ring is empty, it waits until
// there is an item or ctx is done; then it returns the error of ctx.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Poll removes and returns the oldest item. It returns false if the ring is empty.
func (r *Ring[T]) Poll() (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Len returns the number of items held.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns how many items were dropped because the ring was full.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
