package depot

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	rock "bramleyrock"
)

// Changed implements [rock.HostChanges], with the same lag as [Depot.List]. A
// cursor of another stand-in, such as one before a restart, is not known.
func (d *Depot) Changed(ctx context.Context, since rock.HostCursor) (rock.HostUpdate, error) {
	if err := d.enterHosts(ctx, "list host changes", ""); err != nil {
		return rock.HostUpdate{}, err
	}
	d.readLeases()
	d.mu.Lock()
	defer d.mu.Unlock()
	from, known := d.place(since)
	var changed []rock.HostStatus
	for _, s := range d.lines() {
		h := d.hosts[s.Name()]
		if !h.seen || differs(h.told, s) {
			d.change++
			h.seen = true
			h.told = s
			h.changed = d.change
		}
		if !known || h.changed > from {
			changed = append(changed, s)
		}
	}
	return rock.NewHostUpdate(changed, d.cursor(), !known), nil
}

// cursor returns the cursor after all changes. The lock is held.
func (d *Depot) cursor() rock.HostCursor {
	return rock.HostCursor(fmt.Sprintf("%s.%d", d.instance, d.change))
}

// place returns the number of changes up to the cursor, and whether this
// stand-in gave it. The lock is held.
func (d *Depot) place(c rock.HostCursor) (uint64, bool) {
	number, ok := strings.CutPrefix(string(c), d.instance+".")
	if !ok {
		return 0, false
	}
	at, err := strconv.ParseUint(number, 10, 64)
	return at, err == nil && at <= d.change
}

// differs reports whether a line changed in what [rock.HostChanges] tells.
func differs(a, b rock.HostStatus) bool {
	return a.State() != b.State() || a.Boots() != b.Boots() || (a.Leases() == 0) != (b.Leases() == 0)
}
