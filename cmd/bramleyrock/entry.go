package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	rock "bramleyrock"
	"bramleyrock/core/record"
	"bramleyrock/io/conf"
	"bramleyrock/io/door"
	"bramleyrock/io/entry"
	"bramleyrock/io/front"
	"bramleyrock/io/logs"

	"github.com/spf13/cobra"
)

func (a *app) entry() *cobra.Command {
	c := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry process",
		Long: `Entry runs one of the equal processes between callers and targets.

SIGTERM or SIGINT stops it gracefully; a second signal cuts what is still in
flight.`,
		Args: cobra.NoArgs,
	}
	return a.command(c, func(s *conf.Set) action {
		settings := entrySettings(s)
		check := s.Bool("check-settings", "check the settings and end")
		return func(ctx context.Context, _ []string) error {
			checked, err := settings(a)
			if err != nil {
				return err
			}
			if *check {
				_, err := fmt.Fprintln(a.out, "The settings are in order.")
				return err
			}
			return runEntry(ctx, checked)
		}
	})
}

// runEntry runs an entry until ctx ends; a second signal cuts its stop short.
func runEntry(ctx context.Context, s entry.Settings) error {
	e, err := entry.New(s)
	if err != nil {
		return err
	}
	hard, cut := context.WithCancel(context.Background())
	defer cut()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	stop := context.AfterFunc(ctx, func() {
		<-signals
		<-signals
		cut()
	})
	defer stop()
	return e.Run(ctx, hard)
}

// entrySettings adds the settings of an entry. The returned function gives
// their values after they were read.
func entrySettings(s *conf.Set) func(a *app) (entry.Settings, error) {
	name := s.String("name", "", "name of the entry, unique in the deployment", "a record name", rock.CheckName)
	zone := s.String("zone", "", "availability zone", "a record name", rock.CheckName)
	caller := s.Address("caller-address", "127.0.0.1:7010", "address of the caller door")
	operator := s.Address("operator-address", "127.0.0.1:7020", "address of the operator door")
	peer := s.Address("peer-address", "127.0.0.1:7030", "address of the peer door")
	platform := s.URL("platform", "http://127.0.0.1:7000", "URL of the platform's services")
	platformToken := s.Token("platform-token", "bearer token for the platform")
	peers := s.Addresses("peers", "peer doors of other entries, for a start while the platform is away")
	secret := s.Secret("peer-secret", "secret that all entries share", 16)
	digest := s.String("operator-digest", "", "digest of the token of the operator of the whole system", "empty, or sha256: and 64 hexadecimal digits", checkDigest)
	headerBytes := s.Int("max-header-bytes", 16<<10, 1<<10, 512<<10, "greatest size of a request's header")
	connections := s.Int("max-connections", 4096, 1, 1<<20, "greatest number of connections to a door")
	readTimeout := s.Duration("read-timeout", 10*time.Second, 10*time.Millisecond, 10*time.Minute, "time in which a request must arrive whole")
	bodyBytes := s.Int("max-body-bytes", 1<<20, 1<<10, 64<<20, "greatest size of a request's body")
	answerBytes := s.Int("max-answer-bytes", 4<<20, 1<<10, 64<<20, "greatest size of an answer")
	balancerDelay := s.Duration("balancer-delay", 3*time.Second, 0, 5*time.Minute, "time that the balancer needs to notice that the entry leaves")
	stopTimeout := s.Duration("stop-timeout", time.Minute, time.Second, time.Hour, "time after which a stop cuts what is in flight")
	poll := s.Duration("poll-interval", time.Second, 100*time.Millisecond, 5*time.Second, "time between readings of the platform's head row")
	seed := s.Int("seed", 0, 0, 1<<53, "seed of random choices, 0 for a random one")
	format := s.OneOf("log-format", "form of the log", "text", "json")
	level := s.OneOf("log-level", "least level that is logged", "info", "debug", "warn", "error")
	return func(a *app) (entry.Settings, error) {
		log, err := logs.New(a.errs, *format, *level)
		if err != nil {
			return entry.Settings{}, err
		}
		var mistakes conf.Mistakes
		mistakes.Require(*balancerDelay < *stopTimeout, "--balancer-delay %v: must be below --stop-timeout %v", *balancerDelay, *stopTimeout)
		return entry.Settings{
			Name:            *name,
			Zone:            *zone,
			CallerAddress:   *caller,
			OperatorAddress: *operator,
			PeerAddress:     *peer,
			PlatformURL:     *platform,
			PlatformToken:   *platformToken,
			PeerAddresses:   *peers,
			PeerSecret:      *secret,
			OperatorDigest:  *digest,
			DoorLimits:      door.Limits{MaxHeaderBytes: *headerBytes, MaxConnections: *connections, ReadTimeout: *readTimeout},
			RequestLimits:   front.Limits{MaxBodyBytes: int64(*bodyBytes), MaxAnswerBytes: *answerBytes},
			BalancerDelay:   *balancerDelay,
			StopTimeout:     *stopTimeout,
			PollInterval:    *poll,
			Seed:            uint64(*seed),
			Log:             log,
		}, mistakes.Join(nil)
	}
}

// checkDigest refuses text that is not the digest of a token; "" is none.
func checkDigest(text string) error {
	if text == "" || record.ValidDigest(text) {
		return nil
	}
	return errors.New("not a digest")
}
