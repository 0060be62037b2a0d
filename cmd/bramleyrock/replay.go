package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"bramleyrock/core/trace"
	"bramleyrock/io/conf"

	"github.com/spf13/cobra"
)

func (a *app) replay() *cobra.Command {
	c := &cobra.Command{
		Use:   "replay TRACE [TRACE ...]",
		Short: "Judge recorded traces by the outcomes that they state",
		Long: `Replay reads traces (JSON lines) and names every outcome that is broken, with
the line that broke it. Its exit status is 1 if any is.`,
		Args: cobra.MinimumNArgs(1),
	}
	return a.command(c, func(s *conf.Set) action {
		output := outputSetting(s)
		return func(_ context.Context, args []string) error {
			var judged []judgement
			broken := 0
			for _, file := range args {
				j, err := a.judge(file)
				if err != nil {
					return usageError{err}
				}
				judged = append(judged, j)
				broken += len(j.Violations)
			}
			if err := a.printJudgements(judged, *output); err != nil {
				return err
			}
			if broken > 0 {
				return fmt.Errorf("replay: %d violations of stated outcomes", broken)
			}
			return nil
		}
	})
}

// judgement is the result of judging one trace.
type judgement struct {
	File       string   `json:"file"`
	Name       string   `json:"name"`
	Events     int      `json:"events"`
	Outcomes   []string `json:"outcomes"`
	Violations []string `json:"violations"`
}

// judge reads a trace and judges it.
func (a *app) judge(file string) (judgement, error) {
	in := a.in
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return judgement{}, fmt.Errorf("read trace: %w", err)
		}
		defer f.Close()
		in = f
	}
	j, err := judgeTrace(in)
	if err != nil {
		return judgement{}, fmt.Errorf("read trace %s: %w", file, err)
	}
	j.File = file
	return j, nil
}

func judgeTrace(in io.Reader) (judgement, error) {
	header, events, err := trace.Read(in)
	if err != nil {
		return judgement{}, err
	}
	outcomes, err := trace.Select(header.Outcomes...)
	if err != nil {
		return judgement{}, err
	}
	if len(outcomes) == 0 {
		return judgement{}, errors.New("the trace states no outcome")
	}
	j := judgement{Name: header.Name, Events: len(events)}
	for _, o := range outcomes {
		j.Outcomes = append(j.Outcomes, o.Name())
	}
	for _, v := range trace.Check(events, outcomes) {
		j.Violations = append(j.Violations, v.String())
	}
	return j, nil
}

// printJudgements prints a line for each trace and each violation.
func (a *app) printJudgements(judged []judgement, output string) error {
	if output == "json" {
		return printJSON(a.out, judged)
	}
	for _, j := range judged {
		state := "held"
		if len(j.Violations) > 0 {
			state = "broken"
		}
		if _, err := fmt.Fprintf(a.out, "%s (%s): %s; %d events, %d outcomes\n", j.File, j.Name, state, j.Events, len(j.Outcomes)); err != nil {
			return err
		}
		for _, v := range j.Violations {
			if _, err := fmt.Fprintf(a.out, "  %s\n", v); err != nil {
				return err
			}
		}
	}
	return nil
}
