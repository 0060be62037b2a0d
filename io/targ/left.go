package targ

import (
	"context"

	rock "bramleyrock"
)

const (
	// maxLeft is the number of tasks that may be waiting to be cancelled.
	maxLeft = 16384
	// cancelDuties is the number of tasks that are cancelled at the same time.
	cancelDuties = 16
)

// leftTask is a task whose caller gave up while it may be running.
type leftTask struct {
	host   rock.Host
	taskID string
}

// cancelLeft cancels tasks whose caller gave up. A task that cannot be
// cancelled ends when its lease lapses.
func (c *Client) cancelLeft(ctx context.Context) error {
	for {
		t, err := c.left.Take(ctx)
		if err != nil {
			return err
		}
		_ = c.Cancel(ctx, t.host, t.taskID)
	}
}
