package route

import (
	"context"
	"maps"
	"slices"

	rock "bramleyrock"
)

// leavingHosts holds the hosts that the platform lists as leaving. It reads only
// the changes of the list if the platform supports that, otherwise the full
// list.
type leavingHosts struct {
	list   rock.HostList
	cursor rock.HostCursor
	names  map[string]bool
}

// newLeavingHosts returns an empty set that has not read the list yet.
func newLeavingHosts(list rock.HostList) *leavingHosts {
	return &leavingHosts{list: list, names: map[string]bool{}}
}

// read updates the set from the list and returns the names of the leaving
// hosts, sorted. After a failed read the set and the cursor are unchanged, so
// the next read returns the changes again.
func (v *leavingHosts) read(ctx context.Context) ([]string, error) {
	u, err := v.fetch(ctx)
	if err != nil {
		return nil, err
	}
	if u.Full() {
		clear(v.names)
	}
	for _, h := range u.Hosts() {
		if h.State() == rock.HostLive {
			delete(v.names, h.Name())
			continue
		}
		v.names[h.Name()] = true
	}
	v.cursor = u.Next()
	return slices.Sorted(maps.Keys(v.names)), nil
}

// fetch returns the changes since the last successful read, or the full list.
func (v *leavingHosts) fetch(ctx context.Context) (rock.HostUpdate, error) {
	if c, ok := v.list.(rock.IncrementalHostList); ok {
		return c.ChangesSince(ctx, rock.StateChanges, v.cursor)
	}
	list, err := v.list.List(ctx)
	return rock.NewHostUpdate(list, "", true), err
}
