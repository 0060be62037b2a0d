package route

import (
	"context"
	"maps"
	"slices"

	rock "bramleyrock"
)

// hostView knows which hosts the platform lists as leaving. It reads the
// changes of the list if the platform tells them, and the whole list otherwise.
type hostView struct {
	list    rock.HostList
	cursor  rock.HostCursor
	leaving map[string]bool
}

// newHostView returns a view that has read nothing yet.
func newHostView(list rock.HostList) *hostView {
	return &hostView{list: list, leaving: map[string]bool{}}
}

// read looks at the list and returns the names of the leaving hosts, in order.
// A look that fails changes nothing, so that the next one makes up for it.
func (v *hostView) read(ctx context.Context) ([]string, error) {
	u, err := v.update(ctx)
	if err != nil {
		return nil, err
	}
	if u.Full() {
		clear(v.leaving)
	}
	for _, h := range u.Hosts() {
		if h.State() == rock.HostLive {
			delete(v.leaving, h.Name())
			continue
		}
		v.leaving[h.Name()] = true
	}
	v.cursor = u.Next()
	return slices.Sorted(maps.Keys(v.leaving)), nil
}

// update returns what changed since the last look.
func (v *hostView) update(ctx context.Context) (rock.HostUpdate, error) {
	if c, ok := v.list.(rock.IncrementalHostList); ok {
		return c.ChangesSince(ctx, rock.StateChanges, v.cursor)
	}
	list, err := v.list.List(ctx)
	return rock.NewHostUpdate(list, "", true), err
}
