package route

import (
	"context"

	rock "bramleyrock"
)

// LeavingHostsReader returns a reader of the hosts that the list says are leaving.
func LeavingHostsReader(list rock.HostList) func(context.Context) ([]string, error) {
	return newLeavingHosts(list).read
}
