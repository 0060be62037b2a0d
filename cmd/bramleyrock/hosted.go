package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/group"
	"bramleyrock/io/boot"
	"bramleyrock/io/conf"
	"bramleyrock/io/logs"
	"bramleyrock/io/meter"
	"bramleyrock/io/site"
	"bramleyrock/platform"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

const (
	// logQueue is how many lines may wait to be written: some seconds of a
	// busy entry.
	logQueue = 8192
	// balancerNotice is how long the balancer may send connections to an
	// entry that is not ready: two questions, a second apart.
	balancerNotice = 2200 * time.Millisecond
	// shutdownTimeout bounds the wait for calls that are in flight, within
	// the platform's grace.
	shutdownTimeout = 3 * time.Second
	// maxLease is the longest lease given to workers: it must outlast the
	// detection of a dead owner and the takeover by another, and it is the
	// time for which tasks of a worker that fell silent cannot run elsewhere.
	maxLease = 4500 * time.Millisecond
)

// hostedSettings are the settings of the hosted command.
type hostedSettings struct {
	config  *string
	metrics *int
	format  *string
	level   *string
}

func (a *app) hosted() *cobra.Command {
	c := &cobra.Command{
		Use:   "hosted",
		Short: "Run an entry on the users' platform",
		Long: `Hosted runs one of the equal entries on the users' platform. Its addresses
and the platform's bounds are read from the platform's settings file.

SIGTERM stops it gracefully. SIGHUP reads the settings file again and names
what has changed.`,
		Args: cobra.NoArgs,
	}
	return a.command(c, func(s *conf.Set) action {
		h := hostedSettings{
			config:  s.String("config", "/etc/bramleyrock/settings.conf", "path of the platform's settings file", "a path", checkPath),
			metrics: s.Int("metrics-port", 7060, 1, 65535, "port of the metrics"),
			format:  s.OneOf("hosted-log-format", "form of the log", "json", "text"),
			level:   s.OneOf("hosted-log-level", "least level that is logged", "info", "debug", "warn", "error"),
		}
		return func(ctx context.Context, _ []string) error { return a.runHosted(ctx, h) }
	})
}

func checkPath(text string) error {
	if text == "" {
		return errors.New("no path")
	}
	return nil
}

// runHosted runs an entry until ctx ends.
func (a *app) runHosted(ctx context.Context, h hostedSettings) error {
	// A SIGHUP must not end the process at any time, also while it starts or stops.
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	p, err := platform.ReadSettings(*h.config)
	if err != nil {
		return err
	}
	tuneMemory(p.MemoryMB)
	lines := logs.NewBoundedWriter(logQueue)
	log, err := logs.New(lines, *h.format, *h.level)
	if err != nil {
		return err
	}
	m, err := meter.New(map[string]string{"entry": p.Name})
	if err != nil {
		return err
	}
	defer func() { _ = m.Close() }() // its values are not wanted any more
	s := site.New(siteSettings(p, log, m))

	last := group.New(context.Background())
	last.Go("log", func(ctx context.Context) error { return lines.Copy(ctx, a.out) })
	log.WithFields(logrus.Fields{"part": "hosted", "name": p.Name, "zone": p.Zone, "front": p.FrontAddress, "store": p.StoreAddress, "bounds": fmt.Sprintf("%+v", p.Bounds)}).Info("Entry starts.")
	last.Go("count dropped lines", func(ctx context.Context) error { return countDropped(ctx, lines, m) })
	err = serveHosted(ctx, h, p, s, m, log, hups)
	log.WithField("part", "hosted").WithField("error", fmt.Sprint(err)).WithField("lines_dropped", lines.Dropped()).Info("Entry stopped.")
	last.Stop()
	return errors.Join(err, last.Wait())
}

const (
	// gcPercent lets garbage grow to four times the live memory, which is a
	// few megabytes of the hundreds that an entry has.
	gcPercent = 400
	// memoryShare is the share of the memory limit above which garbage is
	// collected more often.
	memoryShare = 0.6
)

// tuneMemory trades memory that the host has for processor time.
func tuneMemory(limitMB float64) {
	debug.SetGCPercent(gcPercent)
	if limitMB > 0 {
		debug.SetMemoryLimit(int64(limitMB * memoryShare * (1 << 20)))
	}
}

// countInterval is the time between updates of counts, below the 5 s at which
// the platform fetches the metrics.
const countInterval = time.Second

// countDropped shows the number of dropped log lines until ctx ends.
func countDropped(ctx context.Context, lines *logs.BoundedWriter, m *meter.Meter) error {
	t := time.NewTicker(countInterval)
	defer t.Stop()
	gauge := m.Scope().Gauge("log_lines_dropped")
	for {
		select {
		case <-t.C:
			gauge.Update(float64(lines.Dropped()))
		case <-ctx.Done():
			return nil
		}
	}
}

// siteSettings translates the platform's settings.
func siteSettings(p platform.Settings, log *logrus.Logger, m *meter.Meter) site.Settings {
	b := p.Bounds
	var adviser rock.Adviser
	if p.AdviserAddress != "" {
		adviser = platform.NewAdviser(p.AdviserAddress)
	}
	return site.Settings{
		Adviser: adviser,
		Name:    p.Name + "@" + p.IP, Holder: p.Name, CPUShare: p.CPUShare,
		Store: platform.NewStore(p.StoreAddress), Workers: platform.NewWorkers(p.MaxWorkerConns()), Hosts: platform.NewHostDuties(p.HostsAddress), HostOrderRate: p.HostOrderRate, MaxRowBytes: p.MaxRowBytes,
		PlatformTables: site.PlatformTables{
			OperatorTable: platform.OperatorTable, ConfigName: platform.ConfigName, WavePrefix: platform.WavePrefix,
			WorkerTable: platform.WorkerTable, StatusTable: platform.StatusTable,
			DecodeConfig: platform.DecodeConfig, DecodeWorker: platform.DecodeWorker,
			DecodeWave: platform.DecodeWave, EncodeWave: platform.EncodeWaveState,
		},
		LeaseDuration: min(b.MaxHold, maxLease), MaxLeaseDuration: b.MaxHold, MaxStopDuration: b.Stop, RemoteSlowdown: b.Far, MaxEarlyStart: b.Early, OutcomeRetention: b.Keep, MinHolderGap: b.HolderGap,
		Clock: boot.NewClock(time.Now()).Now, Log: log, Scope: m.Scope(),
	}
}

// serveHosted serves until ctx ends, and then stops gracefully: the cells go
// to other entries at once, callers are served until the balancer has noticed.
func serveHosted(ctx context.Context, h hostedSettings, p platform.Settings, s *site.Site, m *meter.Meter, log *logrus.Logger, hups <-chan os.Signal) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", m.Handler())
	front, ready := platform.NewFront(s), platform.NewReady(s)
	servers := map[*http.Server]string{
		front: p.FrontAddress,
		ready: p.ReadyAddress,
		{Handler: mux, ReadHeaderTimeout: shutdownTimeout}: net.JoinHostPort(p.IP, fmt.Sprint(*h.metrics)),
	}
	doors := group.New(context.Background())
	for server, address := range servers {
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return fmt.Errorf("open %s: %w", address, err)
		}
		doors.Go("serve "+address, func(context.Context) error {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	work := group.New(ctx)
	work.Go("site", s.Run)
	work.Go("reload", func(ctx context.Context) error { return watchReload(ctx, hups, *h.config, p, log) })
	work.Go("leave", func(inner context.Context) error {
		<-inner.Done()
		s.SetStopping()
		log.WithField("part", "hosted").Info("Entry stops.")
		return nil
	})
	err := work.Wait()
	if ctx.Err() != nil {
		time.Sleep(balancerNotice)
	}
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for server := range servers {
		err = errors.Join(err, server.Shutdown(limit))
	}
	return errors.Join(err, doors.Wait())
}

// watchReload reads the settings file again at each SIGHUP, until ctx ends. Addresses are
// fixed for the life of a process, so a change is only named.
func watchReload(ctx context.Context, hups <-chan os.Signal, path string, before platform.Settings, log *logrus.Logger) error {
	for {
		select {
		case <-hups:
			p, err := platform.ReadSettings(path)
			line := log.WithField("part", "hosted")
			switch {
			case err != nil:
				line.WithError(err).Error("Settings cannot be read again, the former ones stay in force.")
			case p != before:
				line.WithField("settings", fmt.Sprintf("%+v", p)).Warn("Settings changed, a restart puts them in force.")
			default:
				line.Info("Settings read again, nothing changed.")
			}
		case <-ctx.Done():
			return nil
		}
	}
}
