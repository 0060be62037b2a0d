package depot

import (
	"context"
	"maps"
	"slices"
	"time"

	rock "bramleyrock"
)

// AddHost adds a live host that has booted once, or gives a known one another
// address. The list shows a new host at once.
func (d *Depot) AddHost(name, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if h, ok := d.hosts[name]; ok {
		h.address = address
		return
	}
	h := &host{name: name, address: address, boots: 1, rebootID: map[string]bool{}}
	h.note(d.settings.Now())
	d.hosts[name] = h
}

// SetLeases tells the number of leases that run on the host. An unknown host
// is ignored.
func (d *Depot) SetLeases(name string, leases int) {
	now := d.settings.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.hosts[name]
	if !ok || h.leases == leases {
		return
	}
	h.settle(now)
	h.leases = leases
	h.note(now)
}

// SetGone makes the host fail, or come back with one more boot. An unknown
// host is ignored.
func (d *Depot) SetGone(name string, gone bool) {
	now := d.settings.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.hosts[name]
	if !ok || h.gone == gone {
		return
	}
	h.settle(now)
	h.gone = gone
	h.leases = 0
	h.backAt = time.Time{}
	if !gone {
		h.boots++
	}
	h.note(now)
}

// List implements [rock.HostList]. Its lines are as old as the lag.
func (d *Depot) List(ctx context.Context) ([]rock.HostStatus, error) {
	if err := d.enterHosts(ctx, "list hosts", ""); err != nil {
		return nil, err
	}
	d.readLeases()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lines(), nil
}

// lines returns the list as it is seen now. The lock is held.
func (d *Depot) lines() []rock.HostStatus {
	now := d.settings.Now()
	d.stats.Lists++
	list := make([]rock.HostStatus, 0, len(d.hosts))
	for _, name := range slices.Sorted(maps.Keys(d.hosts)) {
		h := d.hosts[name]
		h.settle(now)
		list = append(list, h.line(now.Add(-d.settings.HostListLag)))
	}
	return list
}

// readLeases asks the settings' source for the leases of all hosts.
func (d *Depot) readLeases() {
	if d.settings.Leases == nil {
		return
	}
	d.mu.Lock()
	names := slices.Collect(maps.Keys(d.hosts))
	d.mu.Unlock()
	for _, name := range names {
		d.SetLeases(name, d.settings.Leases(name))
	}
}

// Drain implements [rock.HostList].
func (d *Depot) Drain(ctx context.Context, name string) error {
	return d.changeHost(ctx, "drain", name, func(h *host, _ time.Time) { h.drained = true })
}

// Undrain implements [rock.HostList].
func (d *Depot) Undrain(ctx context.Context, name string) error {
	return d.changeHost(ctx, "undrain", name, func(h *host, _ time.Time) { h.drained = false })
}

// Reboot implements [rock.HostList]. Rebooting ends all leases at once and
// takes the time of the settings; after it the host is live and no longer
// drained. A repeated id does nothing.
func (d *Depot) Reboot(ctx context.Context, name, id string) error {
	var address string
	begins := false
	err := d.changeHost(ctx, "reboot", name, func(h *host, now time.Time) {
		address = h.address
		if h.rebootID[id] {
			return
		}
		h.rebootID[id] = true
		h.backAt = now.Add(d.settings.RebootTime)
		h.leases = 0
		begins = true
	})
	if err == nil && begins && d.settings.OnReboot != nil {
		d.settings.OnReboot(name, address)
	}
	return err
}

// changeHost changes a known host that is not gone.
func (d *Depot) changeHost(ctx context.Context, op, name string, change func(h *host, now time.Time)) error {
	if err := d.enterHosts(ctx, op, name); err != nil {
		return err
	}
	now := d.settings.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.hosts[name]
	if !ok {
		return rock.Fail(op, name, rock.NotFound, rock.NotRun).Becausef("host is not known to the platform")
	}
	if h.gone {
		return rock.Fail(op, name, rock.Unavailable, rock.NotRun).Becausef("host is gone")
	}
	h.settle(now)
	change(h, now)
	h.note(now)
	return nil
}

// enterHosts applies the faults that hit calls on the host list.
func (d *Depot) enterHosts(ctx context.Context, op, name string) error {
	if d.Faults().HostListDown {
		return rock.Fail(op, name, rock.Unavailable, rock.NotRun).Becausef("host list is down")
	}
	return d.enter(ctx, op, name)
}
