package rock

import "context"

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the object, or a [NotFound] failure if there is none.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes the object and replaces any earlier content.
	Put(ctx context.Context, name string, data []byte) error
	// Remove deletes the object. It is no error if there is none.
	Remove(ctx context.Context, name string) error
}
