package site

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/cell"
	"bramleyrock/core/maint"
)

const (
	// drainTimeout is how long a claimed host may run ordinary tasks. It is longer
	// than the longest task of the expected workload.
	drainTimeout = 5 * time.Second
	// carriedOutDelay is how long a host may be listed as up with the same worker after
	// its maintenance was ordered. It is longer than the lists of hosts lag.
	carriedOutDelay = 3 * time.Second
	// wavePart is the part of the cell table that holds the states of waves.
	wavePart = "waves"
	// maxCalmWork is the largest amount of remaining work per core, in seconds, with
	// which a pool counts as calm.
	maxCalmWork = 0.25
)

// maxClaimAttempts bounds the attempts in one round to write a wave's state, which the
// owners of other pools write too.
const maxClaimAttempts = 4

// reconcileWave makes one round for a wave: it updates the claims of the pool's hosts.
// Hosts are the hosts of all pools, and s shows the pool's workers.
func (m *hostManager) reconcileWave(ctx context.Context, name string, w rock.MaintenanceWave, seen time.Time, hosts []rock.PlatformHost, s cellSnapshot) error {
	byName := make(map[string]rock.PlatformHost, len(hosts))
	for _, h := range hosts {
		byName[h.Name] = h
	}
	var err error
	for range maxClaimAttempts {
		var row rock.Row
		var state maint.State
		row, state, err = m.readWaveState(ctx, name)
		if err != nil {
			return err
		}
		m.waveStates[name] = state
		if state.AllStarted(w) {
			delete(m.waveStates, name)
			return m.publishCompletion(ctx, name, true)
		}
		m.announceWave(ctx, name)
		next := state.Clone()
		finished := m.finishHosts(w, &next, byName)
		claimed := m.claimHosts(w, &next, seen, hosts, s)
		if len(finished)+len(claimed) > 0 {
			err = m.writeWaveState(ctx, key(cellTable, wavePart, name), row.Version(), next)
			if rock.ReasonOf(err) == rock.Conflict {
				continue
			}
			if err != nil {
				return err
			}
			m.recordClaims(w, next, byName, finished, claimed, s)
		}
		m.waveStates[name] = next
		m.pendingWaves = append(m.pendingWaves, pendingWave{name, w, next, byName})
		return nil
	}
	return err
}

// recordClaims records and logs stored changes of a wave's state.
func (m *hostManager) recordClaims(w rock.MaintenanceWave, state maint.State, hosts map[string]rock.PlatformHost, finished, claimed []string, s cellSnapshot) {
	logger := m.owner.log.WithField("wave", w.Number)
	for _, name := range finished {
		delete(m.orderedUpSince, name)
		if h, ok := hosts[name]; ok {
			logger.WithField("host", name).WithField("worker", h.Worker).Info("Host is maintained.")
		} else {
			logger.WithField("host", name).Info("Host of the wave is not listed any more.")
		}
	}
	for _, name := range claimed {
		logger.WithField("host", name).WithField("worker", state.Claims[name].Worker).
			WithField("work", s.load.RemainingWork).WithField("cores", s.load.Cores).Info("Host is claimed for maintenance.")
	}
}

// closeClaimed adds the workers on a wave's claimed hosts to closing, and the hosts to
// claimed.
func (m *hostManager) closeClaimed(state maint.State, hosts []rock.PlatformHost, closing, claimed map[string]bool) {
	if len(state.Claims) == 0 {
		return
	}
	for _, h := range hosts {
		c, ok := state.Claims[h.Name]
		if ok && !c.Ordered && h.Pool == m.owner.pool {
			closing[h.Worker] = true
		}
	}
	for name, c := range state.Claims {
		claimed[name] = true
		if c.Ordered {
			closing[c.Worker] = true // the order ends this worker, even if it is still listed
		}
	}
}

// pendingWave is a wave whose orders are sent after the cell was told which workers
// must be emptied.
type pendingWave struct {
	name  string
	wave  rock.MaintenanceWave
	state maint.State
	hosts map[string]rock.PlatformHost
}

// orderPendingWaves sends the maintenance orders of the waves.
func (m *hostManager) orderPendingWaves(ctx context.Context) error {
	for _, p := range m.pendingWaves {
		ordered, err := m.orderMaintenance(ctx, p.wave, p.state, p.hosts)
		if err := m.recordOrders(ctx, p.name, ordered); err != nil {
			return err
		}
		if err != nil {
			return fmt.Errorf("wave %d: %w", p.wave.Number, err)
		}
	}
	return nil
}

// finishHosts marks the cell's claimed hosts as done that are up again, and the wave's
// hosts that are not listed any more. It returns their names.
func (m *hostManager) finishHosts(w rock.MaintenanceWave, state *maint.State, hosts map[string]rock.PlatformHost) []string {
	var finished []string
	done := state.DoneHosts()
	for _, name := range w.Hosts {
		h, ok := hosts[name]
		c, claimed := state.Claims[name]
		switch {
		case !ok && !done[name]:
			finished = append(finished, name)
		case ok && claimed && c.Ordered && h.Pool == m.owner.pool && m.isMaintained(h, c):
			finished = append(finished, name)
			delete(m.endingWorkers, h.Worker)
		}
	}
	state.Finish(finished...)
	return finished
}

// isMaintained reports whether a host whose maintenance was ordered is up again. The
// platform also accepts an order that it carried out earlier, whose answer was lost or was
// not recorded. The host stays up with the same worker then.
func (m *hostManager) isMaintained(h rock.PlatformHost, c maint.Claim) bool {
	if h.Phase != rock.HostUp {
		delete(m.orderedUpSince, h.Name)
		return false
	}
	if h.Worker != c.Worker || h.Worker == "" {
		return true
	}
	now := m.owner.site.now()
	if m.orderedUpSince[h.Name].IsZero() {
		m.orderedUpSince[h.Name] = now
	}
	return now.Sub(m.orderedUpSince[h.Name]) > carriedOutDelay
}

// claimHosts claims the hosts that are taken down next, and returns their names.
func (m *hostManager) claimHosts(w rock.MaintenanceWave, state *maint.State, seen time.Time, hosts []rock.PlatformHost, s cellSnapshot) []string {
	o := m.owner
	inWave := make(map[string]bool, len(w.Hosts))
	for _, name := range w.Hosts {
		inWave[name] = true
	}
	pool := maint.Pool{Idle: true}
	var candidates []maint.Host
	workers := map[string]string{}
	for _, h := range hosts {
		if h.Pool != o.pool {
			continue
		}
		pool.Hosts++
		pool.Idle = pool.Idle && h.Worker == ""
		if inWave[h.Name] {
			c := s.occupancy[h.Worker]
			candidates = append(candidates, maint.Host{Name: h.Name, Worker: h.Worker, Eligible: h.Phase == rock.HostUp && m.mayOrder(h.Name) && m.departures[h.Name].to == "", Runs: c.Runs, PersistentRuns: c.PersistentRuns})
			workers[h.Name] = h.Worker
		}
	}
	pool.HasSpareCapacity = s.load.RemainingWork <= maxCalmWork*s.load.Cores
	picked := maint.SelectHosts(o.site.now().Sub(seen), w, *state, candidates, pool)
	for _, name := range picked {
		state.Claims[name] = maint.Claim{Worker: workers[name]}
	}
	return picked
}

// orderMaintenance orders the maintenance of the cell's claimed hosts that are empty, a
// few at a time. It returns the hosts whose order was accepted, with their workers.
func (m *hostManager) orderMaintenance(ctx context.Context, w rock.MaintenanceWave, state maint.State, hosts map[string]rock.PlatformHost) (map[string]string, error) {
	var workerIDs []string
	for name, c := range state.Claims {
		if !c.Ordered && hosts[name].Pool == m.owner.pool {
			workerIDs = append(workerIDs, hosts[name].Worker)
		}
	}
	if len(workerIDs) == 0 {
		return nil, nil
	}
	s, err := m.snapshot(ctx, workerIDs, withoutLoad)
	if err != nil {
		return nil, err
	}
	var empty []rock.PlatformHost
	for _, name := range slices.Sorted(maps.Keys(state.Claims)) {
		c, h := state.Claims[name], hosts[name]
		if !c.Ordered && h.Pool == m.owner.pool && m.canTakeDown(name, s.occupancy[h.Worker]) && m.mayOrder(name) && m.mayOrderAgain(h) {
			empty = append(empty, h)
		}
	}
	ready, err := m.beginTakeDowns(ctx, empty, s)
	if err != nil || len(ready) == 0 {
		return nil, err
	}
	notOrdered := ready
	defer func() { m.endTakeDowns(ctx, notOrdered) }()
	if err := m.announceOrders(ctx, s, hostNames(ready)); err != nil {
		return nil, err
	}
	ordered := map[string]string{}
	notOrdered, err = m.sendOrders(ctx, ready, s, func(ctx context.Context, h rock.PlatformHost) error {
		accepted, err := m.maintainHost(ctx, w, h, s)
		if accepted {
			m.endingMu.Lock()
			defer m.endingMu.Unlock()
			m.endingWorkers[h.Worker] = h.Name
			ordered[h.Name] = h.Worker
		}
		return err
	})
	return ordered, err
}

// maintainHost sends the order to maintain one host, and reports whether it was
// accepted.
func (m *hostManager) maintainHost(ctx context.Context, w rock.MaintenanceWave, h rock.PlatformHost, s cellSnapshot) (bool, error) {
	settings := &m.owner.site.settings
	p, err := settings.Hosts.Maintain(ctx, rock.DutyHolder{Name: settings.Holder, FencingToken: s.fencingToken}, h.Name, w.Number)
	if certainlyNotOrdered(p, err) {
		m.endTakeDowns(ctx, []rock.PlatformHost{h})
	}
	logger := m.owner.log.WithField("host", h.Name).WithField("wave", w.Number).WithField("token", s.fencingToken)
	if err != nil {
		logger.WithError(err).Warn("Outcome of a maintenance order is unknown.")
		return false, err
	}
	logger.WithField("refusal", p.Refusal).Info("Maintenance order.")
	if p.Refusal != rock.Accepted {
		m.endingMu.Lock()
		defer m.endingMu.Unlock()
		m.refusedAt[h.Name] = m.owner.site.now()
	}
	return p.Refusal == rock.Accepted, nil
}

// refusedOrderDelay is the time between two maintenance orders for a host that is not up,
// if the first one was refused.
const refusedOrderDelay = 2 * time.Second

// mayOrderAgain reports whether an order for a claimed host may be accepted now. A host
// that is not up is ordered too: the platform accepts an order that it has carried out.
func (m *hostManager) mayOrderAgain(h rock.PlatformHost) bool {
	return h.Phase == rock.HostUp || m.owner.site.now().Sub(m.refusedAt[h.Name]) >= refusedOrderDelay
}

// maxRecordAttempts bounds the attempts to write a wave's state, which the owners of
// other pools write too.
const maxRecordAttempts = 8

// recordOrders records accepted orders in the state of a wave.
func (m *hostManager) recordOrders(ctx context.Context, name string, ordered map[string]string) error {
	if len(ordered) == 0 {
		return nil
	}
	var err error
	for range maxRecordAttempts {
		var row rock.Row
		var state maint.State
		if row, state, err = m.readWaveState(ctx, name); err != nil {
			continue
		}
		for host, worker := range ordered {
			if c, ok := state.Claims[host]; ok {
				c.Ordered, c.Worker = true, worker
				state.Claims[host] = c
			}
		}
		if err = m.writeWaveState(ctx, key(cellTable, wavePart, name), row.Version(), state); err == nil {
			return nil
		}
	}
	return fmt.Errorf("record orders of wave %s: %w", name, err)
}

// readWaveState reads the state of a wave and the row that holds it.
func (m *hostManager) readWaveState(ctx context.Context, name string) (rock.Row, maint.State, error) {
	rows, err := m.owner.site.settings.Store.List(ctx, cellTable, wavePart, name, name+"\x00")
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

// canTakeDown reports whether a claimed host may be taken down: nothing runs on it, or
// only tasks that are not persistent and have run longer than drainTimeout.
func (m *hostManager) canTakeDown(name string, c cell.Occupancy) bool {
	now := m.owner.site.now()
	if m.claimedAt[name].IsZero() {
		m.claimedAt[name] = now
		return c.Runs == 0 && !c.Usable
	}
	if c.Runs == 0 {
		return !c.Usable // it is usable until the cell knows that the worker must be emptied
	}
	return c.PersistentRuns == 0 && now.Sub(m.claimedAt[name]) > drainTimeout
}

// writeWaveState stores the state of a wave on condition that its row is unchanged.
func (m *hostManager) writeWaveState(ctx context.Context, rowKey string, version uint64, state maint.State) error {
	value, err := state.Encode()
	if err != nil {
		return err
	}
	var t rock.Transaction
	t.Require(rowKey, version)
	t.Put(rowKey, value)
	_, err = m.owner.site.settings.Store.Apply(ctx, t)
	return err
}

// announceWave tells the operator that a wave is being carried out, unless the wave has a
// status row already.
func (m *hostManager) announceWave(ctx context.Context, name string) {
	if m.announcedWaves[name] {
		return
	}
	o := m.owner
	var t rock.Transaction
	row := key(o.site.settings.PlatformTables.StatusTable, "", o.site.settings.PlatformTables.WavePrefix+name)
	t.Require(row, 0)
	t.Put(row, o.site.settings.PlatformTables.EncodeWave(false))
	_, err := o.site.settings.Store.Apply(ctx, t)
	if err != nil && rock.ReasonOf(err) != rock.Conflict {
		o.log.WithError(err).WithField("wave", name).Info("Wave cannot be announced yet.")
		return
	}
	m.announcedWaves[name] = true
}

// publishCompletion tells the operator that a wave is completed, which is so once the
// maintenance of all its hosts has begun.
func (m *hostManager) publishCompletion(ctx context.Context, name string, complete bool) error {
	o := m.owner
	var t rock.Transaction
	t.Put(key(o.site.settings.PlatformTables.StatusTable, "", o.site.settings.PlatformTables.WavePrefix+name), o.site.settings.PlatformTables.EncodeWave(complete))
	if _, err := o.site.settings.Store.Apply(ctx, t); err != nil {
		return err
	}
	m.completedWaves[name] = true
	o.log.WithField("wave", name).Info("Wave is completed.")
	return nil
}
