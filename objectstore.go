package rock

import "context"

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the object; a missing one is a [NotFound] failure.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes the object whole.
	Put(ctx context.Context, name string, data []byte) error
	// Remove deletes the object; a missing one is no error.
	Remove(ctx context.Context, name string) error
}
