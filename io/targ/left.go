package targ

import (
	"context"

	rock "bramleyrock"
)

// cancelDuties is the number of tasks that are cancelled at the same time.
const cancelDuties = 16

// leftTask is a task whose caller gave up while it may be running.
type leftTask struct {
	host    string
	address string
	taskID  string
}

// cancelLeft cancels tasks whose caller gave up. A task that cannot be
// cancelled ends when its lease lapses.
func (c *Client) cancelLeft(ctx context.Context) error {
	for {
		t, err := c.left.Take(ctx)
		if err != nil {
			return err
		}
		host := rock.NewHost(rock.HostSpec{Name: t.host, Address: t.address})
		_ = c.Cancel(ctx, host, t.taskID)
	}
}
