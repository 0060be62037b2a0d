package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"bramleyrock/core/trace"
	"bramleyrock/io/conf"
	"bramleyrock/io/logs"
	"bramleyrock/io/trial"

	"github.com/spf13/cobra"
	"golang.org/x/term"
)

func (a *app) trial() *cobra.Command {
	c := &cobra.Command{
		Use:   "trial",
		Short: "Run a small deployment in one process and print what it measured",
		Long: `Trial starts stand-ins of the platform and of targets and real entries, all on
loopback, puts a seeded load on them, and ends with a table of readings. Its
exit status is 1 if a stated outcome did not hold.`,
		Args: cobra.NoArgs,
	}
	return a.command(c, func(s *conf.Set) action {
		deployment := s.OneOf("deployment", "shape of the fleet", trial.Deployments()...)
		seconds := s.Int("seconds", 20, 5, 3600, "length of the load")
		seed := s.Int("seed", 1, 0, 1<<53, "seed of the load")
		output := outputSetting(s)
		file := s.String("trace", "", "file to write the trace to", "", nil)
		level := s.OneOf("log-level", "least level that is logged", "error", "warn", "info", "debug")
		return func(ctx context.Context, _ []string) error {
			log, err := logs.New(a.errs, "text", *level)
			if err != nil {
				return err
			}
			report, err := trial.Run(ctx, trial.Settings{
				Deployment: trial.Deployment(*deployment),
				Length:     time.Duration(*seconds) * time.Second,
				Seed:       uint64(*seed),
				Progress:   a.progress(),
				Log:        log,
			})
			if err != nil {
				return err
			}
			if err := writeTrace(*file, report); err != nil {
				return err
			}
			return a.printReport(report, *output)
		}
	})
}

// progress returns a function that shows a line of progress: in place on a
// terminal, and not at all elsewhere.
func (a *app) progress() func(string) {
	f, ok := a.errs.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return nil
	}
	return func(line string) {
		_, _ = fmt.Fprintf(f, "\r\x1b[K%s", line)
		if strings.HasPrefix(line, "stopping") {
			_, _ = fmt.Fprintln(f)
		}
	}
}

// writeTrace writes the trial's trace to the file, if there is one.
func writeTrace(file string, r trial.Report) error {
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	err = r.Trace().WriteTrace(f, trace.Header{
		Name:     fmt.Sprintf("trial of %s", r.Deployment),
		Command:  "bramleyrock trial",
		Seed:     r.Seed,
		Outcomes: r.Outcomes,
	})
	return errors.Join(err, f.Close())
}

// printReport prints the readings, and fails if an outcome did not hold.
func (a *app) printReport(r trial.Report, output string) error {
	if err := writeReport(a.out, r, output); err != nil {
		return err
	}
	if len(r.Broken) > 0 {
		return fmt.Errorf("trial: %d outcomes did not hold", len(r.Broken))
	}
	return nil
}

func writeReport(w io.Writer, r trial.Report, output string) error {
	if output == "json" {
		return printJSON(w, r)
	}
	rows := [][]string{{"POOL", "SERVED", "NOT RUN", "MAY HAVE RUN", "DELAY P50", "DELAY P99", ""}}
	for _, p := range r.Pools {
		note := ""
		if p.Surged {
			note = "surged"
		}
		rows = append(rows, []string{
			p.Pool, fmt.Sprint(p.Served), fmt.Sprint(p.NotRun), fmt.Sprint(p.MayHaveRun),
			fmt.Sprintf("%.1f ms", p.DelayP50MS), fmt.Sprintf("%.1f ms", p.DelayP99MS), note,
		})
	}
	if err := printTable(w, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, `
change in force everywhere  %.0f ms
one host moved              %.0f ms
wave over one pool          %.0f ms
platform                    %.1f reads/s, %.1f writes/s
outcomes judged             %s
`, r.ForceMS, r.MoveMS, r.WaveMS, r.PlatformReads, r.PlatformWrites, strings.Join(r.Outcomes, ", "))
	if err != nil {
		return err
	}
	for _, b := range r.Broken {
		if _, err := fmt.Fprintln(w, "BROKEN  "+b); err != nil {
			return err
		}
	}
	return nil
}
