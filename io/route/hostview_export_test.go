package route

import (
	"context"

	rock "bramleyrock"
)

// LeavingOf returns a reader of the hosts that the list says are leaving.
func LeavingOf(list rock.HostList) func(context.Context) ([]string, error) {
	return newHostView(list).read
}
