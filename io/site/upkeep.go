package site

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/group"
	"bramleyrock/core/maint"
)

const (
	// drainPatience is how long a claimed host may run ordinary tasks: longer
	// than the longest of the sheets.
	drainPatience = 5 * time.Second
	// wavePart is the part of the cells' table with the states of waves.
	wavePart = "waves"
	// calmWork is the waiting work a core, in seconds, up to which a pool is
	// calm.
	calmWork = 0.25
)

// serve does what is due for one wave.
func (u *steward) serve(ctx context.Context, name string, w rock.MaintenanceWave, seen time.Time, hosts []rock.PlatformHost, closing, known map[string]bool) error {
	rowKey := key(cellTable, wavePart, name)
	row, state, err := u.read(ctx, name)
	if err != nil {
		return err
	}
	if state.Begun(w) {
		return u.say(ctx, name, true)
	}
	byName := map[string]rock.PlatformHost{}
	for _, h := range hosts {
		byName[h.Name] = h
	}
	u.announce(ctx, name)
	changed := u.finish(w, &state, byName)
	claimed, err := u.claim(ctx, w, &state, seen, hosts)
	if err != nil {
		return err
	}
	for host, c := range state.Claims {
		known[host] = true
		if c.Ordered {
			closing[c.Worker] = true // its life is over, whatever is still listed
		} else if h := byName[host]; h.Pool == u.owner.pool {
			closing[h.Worker] = true
		}
	}
	if changed || claimed {
		return u.store(ctx, rowKey, row.Version(), state) // the orders follow in the next turn, from what is stored
	}
	u.pending = append(u.pending, pendingWave{name, w, state, byName})
	return nil
}

// pendingWave is a wave whose orders are given once the cell has heard which
// workers are to be emptied.
type pendingWave struct {
	name  string
	wave  rock.MaintenanceWave
	state maint.State
	hosts map[string]rock.PlatformHost
}

// orders gives the orders of the waves.
func (u *steward) orders(ctx context.Context) error {
	for _, p := range u.pending {
		ordered, err := u.order(ctx, p.wave, p.state, p.hosts)
		if err := u.record(ctx, p.name, ordered); err != nil {
			return err
		}
		if err != nil {
			return fmt.Errorf("wave %d: %w", p.wave.Number, err)
		}
	}
	return nil
}

// finish notes which of the cell's claimed hosts are up again, and which of
// the wave's hosts are gone.
func (u *steward) finish(w rock.MaintenanceWave, state *maint.State, hosts map[string]rock.PlatformHost) bool {
	changed := false
	for _, name := range w.Hosts {
		h, ok := hosts[name]
		c, claimed := state.Claims[name]
		switch {
		case !ok && !slices.Contains(state.Done, name):
			state.Finish(name)
			changed = true
			u.owner.log.WithField("host", name).WithField("wave", w.Number).Info("Host of the wave is not listed any more.")
		case ok && claimed && c.Ordered && h.Pool == u.owner.pool && h.Phase == rock.HostUp && (h.Worker != c.Worker || h.Worker == ""):
			state.Finish(name)
			changed = true
			u.owner.log.WithField("host", name).WithField("wave", w.Number).WithField("worker", h.Worker).Info("Host is maintained.")
		}
	}
	return changed
}

// claim adds the hosts that are to be taken down next.
func (u *steward) claim(ctx context.Context, w rock.MaintenanceWave, state *maint.State, seen time.Time, hosts []rock.PlatformHost) (bool, error) {
	o := u.owner
	now := o.site.now()
	var ids []string
	pool := maint.Pool{}
	for _, h := range hosts {
		if h.Pool == o.pool {
			pool.Hosts++
			ids = append(ids, h.Worker)
		}
	}
	s, err := u.ask(ctx, ids)
	if err != nil {
		return false, err
	}
	var mine []maint.Host
	workers := map[string]string{}
	standby := true
	for _, h := range hosts {
		if h.Pool != o.pool {
			continue
		}
		standby = standby && h.Worker == ""
		if slices.Contains(w.Hosts, h.Name) {
			c := s.hosts[h.Worker]
			mine = append(mine, maint.Host{Name: h.Name, Worker: h.Worker, Up: h.Phase == rock.HostUp && u.mayOrder(h.Name) && u.departures[h.Name].to == "", Runs: c.Runs, Lasting: c.PersistentRuns})
			workers[h.Name] = h.Worker
		}
	}
	pool.Calm, pool.Idle = s.load.RemainingWork <= calmWork*s.load.Cores, standby
	picked := maint.Pick(now.Sub(seen), w, *state, mine, pool)
	for _, name := range picked {
		state.Claims[name] = maint.Claim{Worker: workers[name]}
		o.log.WithField("host", name).WithField("wave", w.Number).WithField("worker", workers[name]).
			WithField("work", s.load.RemainingWork).WithField("cores", s.load.Cores).Info("Host is claimed for maintenance.")
	}
	return len(picked) > 0, nil
}

// order takes down the cell's claimed hosts that are empty, some at a time, and
// returns those whose order was taken with the workers that they had.
func (u *steward) order(ctx context.Context, w rock.MaintenanceWave, state maint.State, hosts map[string]rock.PlatformHost) (map[string]string, error) {
	var ids []string
	for name, c := range state.Claims {
		if !c.Ordered && hosts[name].Pool == u.owner.pool {
			ids = append(ids, hosts[name].Worker)
		}
	}
	if len(ids) == 0 {
		return nil, nil
	}
	s, err := u.ask(ctx, ids)
	if err != nil {
		return nil, err
	}
	var ready []string
	for _, name := range slices.Sorted(maps.Keys(state.Claims)) {
		c, h := state.Claims[name], hosts[name]
		if !c.Ordered && h.Pool == u.owner.pool && u.empty(name, s.hosts[h.Worker]) && u.mayOrder(name) {
			ready = append(ready, name)
		}
	}
	if len(ready) == 0 {
		return nil, nil
	}
	if err := u.announceOrders(ctx, s, ready); err != nil {
		return nil, err
	}
	ordered := map[string]string{}
	for some := range slices.Chunk(ready, ordersAtOnce) {
		if !u.owner.site.now().Before(s.until) {
			return ordered, errNotProved // the process was frozen, or the orders take long
		}
		g := group.New(ctx)
		for _, name := range some {
			g.Go("maintain host", func(ctx context.Context) error {
				taken, err := u.orderUpkeep(ctx, w, name, s)
				if taken {
					u.endingMu.Lock()
					defer u.endingMu.Unlock()
					u.ending[hosts[name].Worker] = name
					ordered[name] = hosts[name].Worker
				}
				return err
			})
		}
		if err := g.Wait(); err != nil {
			return ordered, err
		}
	}
	return ordered, nil
}

// orderUpkeep orders the maintenance of one host, and reports whether the order was
// taken.
func (u *steward) orderUpkeep(ctx context.Context, w rock.MaintenanceWave, name string, s situation) (bool, error) {
	settings := &u.owner.site.settings
	p, err := settings.Hosts.Maintain(ctx, rock.DutyHolder{Name: settings.Holder, FencingToken: s.token}, name, w.Number)
	line := u.owner.log.WithField("host", name).WithField("wave", w.Number).WithField("token", s.token)
	if err != nil {
		line.WithError(err).Warn("Maintenance order is open.")
		return false, err
	}
	line.WithField("refusal", p.Refusal).Info("Maintenance order.")
	return p.Refusal == rock.Accepted, nil
}

// recordTries bounds the writes of a wave's state: the owners of the other
// pools write it too.
const recordTries = 8

// record notes in the state of a wave that orders were taken.
func (u *steward) record(ctx context.Context, name string, ordered map[string]string) error {
	if len(ordered) == 0 {
		return nil
	}
	var err error
	for range recordTries {
		var row rock.Row
		var state maint.State
		if row, state, err = u.read(ctx, name); err != nil {
			continue
		}
		for host, worker := range ordered {
			if c, ok := state.Claims[host]; ok {
				c.Ordered, c.Worker = true, worker
				state.Claims[host] = c
			}
		}
		if err = u.store(ctx, key(cellTable, wavePart, name), row.Version(), state); err == nil {
			return nil
		}
	}
	return fmt.Errorf("record orders of wave %s: %w", name, err)
}

// read reads the state of a wave.
func (u *steward) read(ctx context.Context, name string) (rock.Row, maint.State, error) {
	rows, err := u.owner.site.settings.Store.List(ctx, cellTable, wavePart, name, name+"\x00")
	if err != nil {
		return rock.Row{}, maint.State{}, err
	}
	var row rock.Row
	if len(rows.Rows) > 0 {
		row = rows.Rows[0]
	}
	state, err := maint.Decode(row.Value())
	return row, state, err
}

// empty reports whether a claimed host may be taken down: nothing runs on it,
// or only ordinary tasks that run for too long.
func (u *steward) empty(name string, c cell.Occupancy) bool {
	now := u.owner.site.now()
	if u.claimedAt[name].IsZero() {
		u.claimedAt[name] = now
		return c.Runs == 0 && !c.Usable
	}
	if c.Runs == 0 {
		return !c.Usable // the cell has heard that the worker is to be emptied
	}
	return c.PersistentRuns == 0 && now.Sub(u.claimedAt[name]) > drainPatience
}

// store writes the state of a wave on condition that it is unchanged.
func (u *steward) store(ctx context.Context, rowKey string, version uint64, state maint.State) error {
	value, err := state.Encode()
	if err != nil {
		return err
	}
	var t rock.Transaction
	t.Require(rowKey, version)
	t.Put(rowKey, value)
	_, err = u.owner.site.settings.Store.Apply(ctx, t)
	return err
}

// announce tells the operator that a wave is under way, unless an owner has
// told of it before.
func (u *steward) announce(ctx context.Context, name string) {
	if u.announced[name] {
		return
	}
	o := u.owner
	var t rock.Transaction
	row := key(o.site.settings.PlatformTables.StatusTable, "", o.site.settings.PlatformTables.WavePrefix+name)
	t.Require(row, 0)
	t.Put(row, o.site.settings.PlatformTables.EncodeWave(false))
	_, err := o.site.settings.Store.Apply(ctx, t)
	if err != nil && rock.ReasonOf(err) != rock.Conflict {
		o.log.WithError(err).WithField("wave", name).Info("Wave cannot be announced yet.")
		return
	}
	u.announced[name] = true
}

// say tells the operator how a wave stands.
func (u *steward) say(ctx context.Context, name string, complete bool) error {
	o := u.owner
	var t rock.Transaction
	t.Put(key(o.site.settings.PlatformTables.StatusTable, "", o.site.settings.PlatformTables.WavePrefix+name), o.site.settings.PlatformTables.EncodeWave(complete))
	if _, err := o.site.settings.Store.Apply(ctx, t); err != nil {
		return err
	}
	u.said[name] = true
	o.log.WithField("wave", name).Info("Wave is completed.")
	return nil
}
