package depot

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	rock "bramleyrock"
)

// ChangesSince implements [rock.IncrementalHostList], with the same lag as [Depot.List]. A
// cursor of another stand-in, such as one before a restart, is not known.
func (d *Depot) ChangesSince(ctx context.Context, of rock.HostChangeFilter, since rock.HostCursor) (rock.HostUpdate, error) {
	if of != rock.StateChanges && of != rock.StateAndLeaseChanges {
		return rock.HostUpdate{}, rock.Fail("list host changes", string(of), rock.BadInput, rock.NotRun).
			Becausef("aspect is %q, want %q or %q", of, rock.StateChanges, rock.StateAndLeaseChanges)
	}
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
		d.noteChange(h, s)
		at := h.leased
		if of == rock.StateChanges {
			at = h.states
		}
		if !known || at > from {
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

// noteChange numbers a change of the host's line, if there is one. The lock is
// held.
func (d *Depot) noteChange(h *host, s rock.HostStatus) {
	states := !h.seen || h.told.State() != s.State() || h.told.Boots() != s.Boots()
	if !states && (h.told.Leases() == 0) == (s.Leases() == 0) {
		return
	}
	d.change++
	h.seen = true
	h.told = s
	h.leased = d.change
	if states {
		h.states = d.change
	}
}
