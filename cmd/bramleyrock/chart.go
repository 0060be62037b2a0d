package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"bramleyrock/io/chart"
	"bramleyrock/io/conf"

	"github.com/spf13/cobra"
)

func (a *app) chart() *cobra.Command {
	c := &cobra.Command{
		Use:   "chart FILE",
		Short: "Show measured capacity plans as a table, or draw their buffer against late work",
		Long: `Chart reads the measured runs of capacity plans, a JSON array such as
docs/measures/plan.json, and prints them as CSV or draws them as SVG.`,
		Args: cobra.ExactArgs(1),
	}
	return a.command(c, func(s *conf.Set) action {
		form := s.OneOf("form", "form of the output", "csv", "svg")
		title := s.String("title", "Buffer against late work", "title of the plot", "", nil)
		return func(_ context.Context, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return usageError{fmt.Errorf("read runs: %w", err)}
			}
			rows, err := chart.Read(f)
			if err = errors.Join(err, f.Close()); err != nil {
				return usageError{fmt.Errorf("read runs of %s: %w", args[0], err)}
			}
			if *form == "svg" {
				return chart.WriteSVG(a.out, *title, rows)
			}
			return chart.WriteCSV(a.out, rows)
		}
	})
}
