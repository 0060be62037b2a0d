package route

import (
	"context"

	rock "bramleyrock"
)

// LeavingHostsReader returns a function that reads the list and returns the
// names of the leaving hosts.
func LeavingHostsReader(list rock.HostList) func(context.Context) ([]string, error) {
	return newLeavingHosts(list).read
}
