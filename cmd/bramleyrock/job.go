package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"bramleyrock/core/job"
	"bramleyrock/io/client"
	"bramleyrock/io/conf"

	"github.com/spf13/cobra"
)

func (a *app) job() *cobra.Command {
	c := &cobra.Command{Use: "job", Short: "Submit, watch and cancel long-running jobs"}
	c.AddCommand(a.jobSubmit(), a.jobGet(), a.jobWatch(), a.jobCancel())
	return c
}

func (a *app) jobSubmit() *cobra.Command {
	c := &cobra.Command{Use: "submit POOL JSON", Short: "Submit a job and print its id", Args: cobra.ExactArgs(2)}
	return a.command(c, func(s *conf.Set) action {
		x := callerAccess(s)
		urgent := s.Bool("urgent", "go before normal jobs")
		idempotent := s.Bool("idempotent", "the job may be run twice")
		maxRun := s.Duration("max-run", 0, 0, 7*24*time.Hour, "bound on one run, 0 for the entry's default")
		return func(ctx context.Context, args []string) error {
			if !json.Valid([]byte(args[1])) {
				return usageError{errors.New("job submit: the payload is not JSON")}
			}
			id, err := x.client().SubmitJob(ctx, args[0], client.Job{
				Payload:    json.RawMessage(args[1]),
				Class:      classOf(*urgent),
				Idempotent: *idempotent,
				MaxRunMS:   maxRun.Milliseconds(),
			})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(a.out, id)
			return err
		}
	})
}

func (a *app) jobGet() *cobra.Command {
	c := &cobra.Command{Use: "get ID", Short: "Show a job", Args: cobra.ExactArgs(1)}
	return a.command(c, func(s *conf.Set) action {
		x := callerAccess(s)
		output := outputSetting(s)
		return func(ctx context.Context, args []string) error {
			j, err := x.client().Job(ctx, args[0])
			if err != nil {
				return err
			}
			return a.printJob(j, *output)
		}
	})
}

func (a *app) jobWatch() *cobra.Command {
	c := &cobra.Command{
		Use:   "watch ID",
		Short: "Show a job's progress until it ends",
		Long: `Watch shows a line each time that the job's state or progress changes. Its exit
status is 1 if the job ended without a result.`,
		Args: cobra.ExactArgs(1),
	}
	return a.command(c, func(s *conf.Set) action {
		x := callerAccess(s)
		output := outputSetting(s)
		interval := s.Duration("interval", time.Second, 100*time.Millisecond, time.Minute, "time between looks at the job")
		return func(ctx context.Context, args []string) error {
			return a.watchJob(ctx, x.client(), args[0], *interval, *output)
		}
	})
}

// watchJob prints a job each time that it changed, until it ends.
func (a *app) watchJob(ctx context.Context, c *client.Client, id string, interval time.Duration, output string) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	var last client.JobStatus
	for {
		j, err := c.Job(ctx, id)
		if err != nil {
			return err
		}
		if j.State != last.State || j.Progress != last.Progress {
			if err := a.printJob(j, output); err != nil {
				return err
			}
		}
		last = j
		if j.State == job.Done {
			return nil
		}
		if j.State.Ended() {
			return fmt.Errorf("job %s ended as %s: %s", id, j.State, j.Detail)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *app) jobCancel() *cobra.Command {
	c := &cobra.Command{Use: "cancel ID", Short: "Ask for a job to be cancelled", Args: cobra.ExactArgs(1)}
	return a.command(c, func(s *conf.Set) action {
		x := callerAccess(s)
		return func(ctx context.Context, args []string) error {
			if err := x.client().CancelJob(ctx, args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(a.out, "the job will be cancelled")
			return err
		}
	})
}

// printJob prints a job as one line or as JSON.
func (a *app) printJob(j client.JobStatus, output string) error {
	if output == "json" {
		return printJSON(a.out, j)
	}
	line := fmt.Sprintf("job %s in pool %s: %s since %s, %.0f%% done", j.JobID, j.Pool, j.State, j.Since.UTC().Format(time.RFC3339), 100*j.Progress)
	if j.Detail != "" {
		line += ", " + j.Detail
	}
	if len(j.Result) > 0 {
		line += ", result " + string(j.Result)
	}
	_, err := fmt.Fprintln(a.out, line)
	return err
}
