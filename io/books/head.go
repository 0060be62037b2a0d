package books

import (
	"context"

	rock "bramleyrock"
)

// Head reads the newest revision from the platform's table. It may be greater
// than the revision in force.
func (b *Books) Head(ctx context.Context) (rock.Revision, error) {
	_, head, err := b.readHead(ctx)
	return head, err
}
