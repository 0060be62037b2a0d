package main

import (
	"context"
	"net/http"
	"time"

	"bramleyrock/core/group"
	"bramleyrock/io/conf"
	"bramleyrock/io/door"
	"bramleyrock/io/fakes/depot"
	"bramleyrock/io/fakes/work"
	"bramleyrock/io/logs"

	"github.com/dghubble/sling"
	"github.com/spf13/cobra"
)

// standIn returns the hidden commands that run stand-ins of outside systems as
// processes of their own.
func (a *app) standIn() *cobra.Command {
	c := &cobra.Command{
		Use:    "stand-in",
		Short:  "Run a stand-in of the platform or of a target, for trials",
		Hidden: true,
	}
	c.AddCommand(a.standInPlatform(), a.standInTarget())
	return c
}

func (a *app) standInPlatform() *cobra.Command {
	c := &cobra.Command{Use: "platform", Short: "Run a stand-in of the platform", Args: cobra.NoArgs}
	return a.command(c, func(s *conf.Set) action {
		address := s.Address("address", "127.0.0.1:7000", "address to listen on")
		lag := s.Duration("host-list-lag", time.Second, 0, time.Minute, "age of the host list's lines")
		reboot := s.Duration("reboot-time", 2*time.Second, 0, time.Hour, "time that a host's reboot takes")
		return func(ctx context.Context, _ []string) error {
			d := depot.New(depot.Settings{HostListLag: *lag, RebootTime: *reboot, OnReboot: rebootTarget})
			return a.serveStandIn(ctx, "platform", *address, d.Handler(), nil)
		}
	})
}

func (a *app) standInTarget() *cobra.Command {
	c := &cobra.Command{Use: "target NAME", Short: "Run a stand-in of a target", Args: cobra.ExactArgs(1)}
	return a.command(c, func(s *conf.Set) action {
		address := s.Address("address", "127.0.0.1:9000", "address to listen on")
		platform := s.URL("platform", "http://127.0.0.1:7000", "URL of the platform stand-in, which is told of the host and its leases")
		slots := s.Int("slots", 8, 1, 1024, "tasks that run at the same time")
		serviceTime := s.Duration("service-time", 20*time.Millisecond, 0, time.Hour, "time that a task takes unless its payload says otherwise")
		return func(ctx context.Context, args []string) error {
			w := work.New(work.Settings{Name: args[0], Slots: *slots, ServiceTime: *serviceTime})
			report := func(ctx context.Context, address string) error {
				return reportHost(ctx, w, *platform, depot.HostCall{Name: args[0], Address: address})
			}
			return a.serveStandIn(ctx, "target", *address, w.Handler(), report)
		}
	})
}

// reportInterval is the time between a target's reports to the platform.
const reportInterval = 200 * time.Millisecond

// reportHost tells the platform stand-in of the host and its leases, again and
// again until ctx ends. A report that fails is made up for by the next.
func reportHost(ctx context.Context, w *work.Worker, platform string, report depot.HostCall) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		leases := w.Leases()
		report.Leases = &leases
		tell(ctx, platform, "/hosts", report)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// rebootTarget ends all tasks of a target stand-in.
func rebootTarget(_, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	tell(ctx, "http://"+address, "/reboot", nil)
}

// tell sends a report to a stand-in and takes no notice of the answer.
func tell(ctx context.Context, base, path string, body any) {
	request, err := sling.New().Base(base).Post(path).BodyJSON(body).Request()
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}

// serveStandIn serves the handler until ctx ends. The report, if there is one,
// runs beside it.
func (a *app) serveStandIn(ctx context.Context, name, address string, handler http.Handler, report func(ctx context.Context, address string) error) error {
	log, err := logs.New(a.errs, "text", "info")
	if err != nil {
		return err
	}
	d := door.New(door.Settings{
		Name:    name,
		Address: address,
		Handler: handler,
		Limits:  door.Limits{ReadTimeout: time.Minute},
		Log:     log.WithField(logs.PartField, "stand-in"),
	})
	if err := d.Listen(); err != nil {
		return err
	}
	g := group.New(context.Background())
	g.Go("serve", d.Serve)
	if report != nil {
		g.Go("report", func(context.Context) error { return report(ctx, d.Address()) })
	}
	g.Go("stop", func(c context.Context) error {
		select {
		case <-ctx.Done():
		case <-c.Done():
		}
		stopping, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = d.Close(stopping)
		return nil
	})
	return g.Wait()
}
