package books

import (
	"context"

	rock "bramleyrock"
)

// Head reads the platform's newest revision, which may be greater than the one
// in force.
func (b *Books) Head(ctx context.Context) (rock.Revision, error) {
	_, head, err := b.readHead(ctx)
	return head, err
}
