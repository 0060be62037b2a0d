package site

import (
	"context"
	"fmt"
	"slices"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/core/resize"
	"bramleyrock/core/works"

	"github.com/sirupsen/logrus"
)

// departPatience is how long a host that is to leave its pool may run tasks,
// longer than most tasks of the sheets take. A host that is not empty by then
// stays.
const departPatience = 3 * time.Second

// departure is a host that is about to leave the pool.
type departure struct {
	to    string
	since time.Time
}

// move decides which hosts are to leave the pool and returns those that could.
func (u *steward) move(ctx context.Context, hosts []rock.PlatformHost, closing, claimed map[string]bool) ([]rock.PlatformHost, error) {
	mine, ids := u.candidates(hosts, claimed)
	s, err := u.ask(ctx, ids)
	if err != nil {
		return nil, err
	}
	mine = slices.DeleteFunc(mine, func(h rock.PlatformHost) bool { return s.hosts[h.Worker].PersistentRuns > 0 })
	u.plan(hosts, mine, s)
	for _, h := range mine {
		if u.departures[h.Name].to != "" && h.Worker != "" {
			closing[h.Worker] = true
		}
	}
	return mine, nil
}

// candidates returns the pool's hosts that could leave, and their workers.
func (u *steward) candidates(hosts []rock.PlatformHost, claimed map[string]bool) ([]rock.PlatformHost, []string) {
	var mine []rock.PlatformHost
	var ids []string
	for _, h := range hosts {
		if h.Pool == u.owner.pool && h.Phase == rock.HostUp && !claimed[h.Name] && u.mayOrder(h.Name) {
			mine = append(mine, h)
			ids = append(ids, h.Worker)
		}
	}
	return mine, ids
}

// plan decides which hosts leave.
func (u *steward) plan(hosts, mine []rock.PlatformHost, s situation) {
	o := u.owner
	now := o.site.now()
	for name, d := range u.departures {
		if now.Sub(d.since) > departPatience || !slices.ContainsFunc(mine, func(h rock.PlatformHost) bool { return h.Name == name }) {
			delete(u.departures, name)
		}
	}
	spare := len(mine)
	config := o.site.view.current()
	if config == nil {
		return
	}
	hostCores, evenCores := cores(config.Pools, hosts)
	u.activity.Observe(now, s.load.ArrivalRate, evenCores)
	activity := u.activity
	o.post(o.group.Context(), func(time.Time) { o.spare, o.activity = spare, activity })
	pools := o.site.view.pools(now, hosts, hostCores)
	for i := range pools {
		if p := &pools[i]; p.Name == o.pool {
			p.Want, p.Keep, p.Spare = s.load.RequiredCores, s.load.RetainedCores, spare
			p.Rest, p.Surged = activity.SinceSurge(now)
		}
	}
	free := slices.DeleteFunc(slices.Clone(mine), func(h rock.PlatformHost) bool { return u.departures[h.Name].to != "" })
	slices.SortFunc(free, func(a, b rock.PlatformHost) int {
		if n := s.hosts[a.Worker].Runs - s.hosts[b.Worker].Runs; n != 0 {
			return n
		}
		return compareNames(a, b)
	})
	under := len(u.departures)
	for _, m := range resize.Plan(pools) {
		if m.From != o.pool {
			continue
		}
		for range m.Count {
			if under > 0 {
				under-- // a host is on its way out already
				continue
			}
			if len(free) == 0 {
				return
			}
			u.departures[free[0].Name] = departure{m.To, now}
			o.log.WithFields(logrus.Fields{"host": free[0].Name, "to": m.To, "runs": s.hosts[free[0].Worker].Runs, "pools": fmt.Sprintf("%+v", pools)}).Info("Host is to leave the pool.")
			free = free[1:]
		}
	}
}

func compareNames(a, b rock.PlatformHost) int {
	if a.Name < b.Name {
		return -1
	}
	return 1
}

// depart moves the hosts that are empty, some at a time.
func (u *steward) depart(ctx context.Context, mine []rock.PlatformHost) error {
	ready, s, err := u.emptied(ctx, mine)
	if err != nil {
		return err
	}
	if len(ready) == 0 {
		return nil
	}
	var names []string
	for _, h := range ready {
		names = append(names, h.Name)
	}
	if err := u.announceOrders(ctx, s, names); err != nil {
		return err
	}
	for len(ready) > 0 {
		if !u.owner.site.now().Before(s.until) {
			return errNotProved // the process was frozen, or the moves take long
		}
		n := min(len(ready), ordersAtOnce)
		g := group.New(ctx)
		for _, h := range ready[:n] {
			to := u.departures[h.Name].to
			delete(u.departures, h.Name)
			delete(u.since, h.Name) // whatever becomes of the order, the host may come back under another holder
			g.Go("move host", func(ctx context.Context) error { return u.orderMove(ctx, h, to, s.token) })
		}
		ready = ready[n:]
		if err := g.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// ordersAtOnce is the number of orders that are under way at a time: one takes
// 14 ms, and the platform takes 64 a second from all entries.
const ordersAtOnce = 4

// emptied returns the departing hosts that nothing runs on, and the situation in
// which they are.
func (u *steward) emptied(ctx context.Context, mine []rock.PlatformHost) ([]rock.PlatformHost, situation, error) {
	var leaving []rock.PlatformHost
	var ids []string
	for _, h := range mine {
		if _, ok := u.departures[h.Name]; ok {
			leaving = append(leaving, h)
			ids = append(ids, h.Worker)
		}
	}
	if len(leaving) == 0 {
		return nil, situation{}, nil
	}
	s, err := u.ask(ctx, ids)
	if err != nil {
		return nil, s, err
	}
	return slices.DeleteFunc(leaving, func(h rock.PlatformHost) bool {
		w := s.hosts[h.Worker]
		return h.Worker != "" && (w.Runs > 0 || w.Usable)
	}), s, nil
}

// orderMove orders the move of one host.
func (u *steward) orderMove(ctx context.Context, h rock.PlatformHost, to string, token uint64) error {
	o := u.owner
	p, err := o.site.settings.Hosts.Move(ctx, rock.DutyHolder{Name: o.site.settings.Holder, FencingToken: token}, h.Name, to)
	line := o.log.WithFields(logrus.Fields{"host": h.Name, "to": to, "token": token, "worker": h.Worker, "refusal": p.Refusal})
	if err != nil {
		line.WithError(err).Warn("Move is open.")
		return err
	}
	line.Info("Host moves.")
	if p.Refusal == rock.Accepted && h.Worker != "" {
		u.endingMu.Lock()
		u.ending[h.Worker] = h.Name
		u.endingMu.Unlock()
	}
	return nil
}

// pools describes all pools for the plan, as their owners last told.
func (v *view) pools(now time.Time, hosts []rock.PlatformHost, hostCores float64) []resize.Pool {
	v.mu.Lock()
	defer v.mu.Unlock()
	var pools []resize.Pool
	for _, p := range v.config.Pools {
		r := resize.Pool{Name: p.Name, Standby: p.Standby, HostCores: hostCores}
		for _, h := range hosts {
			if h.Pool == p.Name && (h.Phase == rock.HostUp || h.Phase == rock.HostMoving || h.Phase == rock.HostInMaintenance) {
				r.Hosts++
			}
		}
		if c := v.cells[cellOf(p.Name)]; c != nil && c.beat.Told {
			r.Want, r.Keep, r.Spare = c.beat.Want, c.beat.Keep, c.beat.Spare
			r.Rest, r.Surged = time.Duration(c.beat.RestMS)*time.Millisecond+now.Sub(c.beatAt), c.beat.Surged
		}
		pools = append(pools, r)
	}
	return pools
}

// cores returns the mean number of cores of a host, and the number that each pool
// would have if all but those on standby had the same.
func cores(pools []works.Pool, hosts []rock.PlatformHost) (host, even float64) {
	total, active := 0.0, 0
	for _, h := range hosts {
		total += float64(h.Capacity.MilliCores) / 1000
	}
	for _, p := range pools {
		if !p.Standby {
			active++
		}
	}
	return total / float64(max(1, len(hosts))), total / float64(max(1, active))
}
