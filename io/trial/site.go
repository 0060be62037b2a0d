package trial

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bramleyrock/core/group"
	"bramleyrock/core/record"
	"bramleyrock/io/client"
	"bramleyrock/io/door"
	"bramleyrock/io/entry"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/logs"
)

const (
	operatorToken = "trial-operator"
	peerSecret    = "trial-secret-of-all-entries"
	anyPort       = "127.0.0.1:0"
	rebootTime    = 300 * time.Millisecond
	hostListLag   = 200 * time.Millisecond
	stopTimeout   = 20 * time.Second
)

// site is a running deployment.
type site struct {
	settings Settings
	shape    shape
	duties   *group.Group
	platform *depot.Depot
	workers  map[string]*work.Worker
	doors    []*door.Door
	fleet    []hostPlan
	entries  []*runningEntry
}

// newSite starts the stand-ins and the entries.
func newSite(s Settings) (*site, error) {
	shape, err := s.Deployment.shape()
	if err != nil {
		return nil, err
	}
	t := &site{
		settings: s,
		shape:    shape,
		duties:   group.New(context.Background()),
		workers:  map[string]*work.Worker{},
	}
	t.platform = depot.New(depot.Settings{
		Seed:        s.Seed,
		HostListLag: hostListLag,
		RebootTime:  rebootTime,
		OnReboot:    func(name, _ string) { t.workers[name].Reboot(time.Now()) },
		Leases:      func(name string) int { return t.workers[name].Leases() },
	})
	platform, err := t.open("platform", t.platform.Handler())
	if err != nil {
		return nil, err
	}
	if err := t.startHosts(); err != nil {
		return nil, err
	}
	for i, zone := range t.entryZones() {
		if err := t.startEntry(fmt.Sprintf("%s%d", zone, i+1), zone, platform); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// entryZones returns the availability zone of each entry: one in each, and a
// second one in the first.
func (t *site) entryZones() []string {
	return append([]string{t.shape.zones[0]}, t.shape.zones...)
}

// open serves a stand-in on a free port and returns its address.
func (t *site) open(name string, handler http.Handler) (string, error) {
	d := door.New(door.Settings{
		Name:    name,
		Address: anyPort,
		Handler: handler,
		Limits:  door.Limits{ReadTimeout: time.Minute},
		Log:     logs.Discard(),
	})
	if err := d.Listen(); err != nil {
		return "", err
	}
	t.doors = append(t.doors, d)
	t.duties.Go(name, d.Serve)
	return d.Address(), nil
}

// startHosts starts the targets of all pools.
func (t *site) startHosts() error {
	for _, pool := range t.shape.pools {
		for i := range t.shape.hosts() {
			zone := t.shape.zones[i%len(t.shape.zones)]
			h := hostPlan{
				name: fmt.Sprintf("%s-%s%d", pool, zone, i/len(t.shape.zones)+1),
				zone: zone,
				rack: fmt.Sprintf("%s%d", zone, i/len(t.shape.zones)+1),
				pool: pool,
			}
			w := work.New(work.Settings{Name: h.name, Slots: t.shape.slots, Seed: t.settings.Seed + uint64(i)})
			t.workers[h.name] = w
			address, err := t.open(h.name, w.Handler())
			if err != nil {
				return err
			}
			h.address = address
			t.platform.AddHost(h.name, address)
			t.fleet = append(t.fleet, h)
		}
	}
	return nil
}

// startEntry starts an entry.
func (t *site) startEntry(name, zone, platform string) error {
	e, err := entry.New(entry.Settings{
		Name:            name,
		Zone:            zone,
		CallerAddress:   anyPort,
		OperatorAddress: anyPort,
		PeerAddress:     anyPort,
		PlatformURL:     "http://" + platform,
		PeerSecret:      peerSecret,
		OperatorDigest:  record.Digest(operatorToken),
		BalancerDelay:   100 * time.Millisecond,
		StopTimeout:     stopTimeout,
		PollInterval:    500 * time.Millisecond,
		Seed:            t.settings.Seed,
		Log:             t.settings.Log,
	})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &runningEntry{
		entry:    e,
		caller:   newCallers(e.CallerAddress(), t.shape.pools),
		operator: client.New(client.Settings{BaseURL: "http://" + e.OperatorAddress(), Token: operatorToken}),
		stop:     stop,
		ended:    make(chan error, 1),
	}
	t.entries = append(t.entries, s)
	t.duties.Go("entry "+name, func(context.Context) error {
		s.ended <- e.Run(ctx, context.Background())
		return nil
	})
	return nil
}

// close stops all that still runs.
func (t *site) close(ctx context.Context) error {
	for _, s := range t.entries {
		s.stop()
	}
	for _, d := range t.doors {
		_ = d.Close(ctx)
	}
	t.duties.Stop()
	return t.duties.Wait()
}
