package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"bramleyrock/io/conf"

	"github.com/spf13/cobra"
)

// app is the program with its surroundings.
type app struct {
	environ []string
	in      io.Reader
	out     io.Writer
	errs    io.Writer
	sets    []commandSet
}

// run runs the command line and returns the exit status.
func (a *app) run(ctx context.Context, args []string) int {
	root := a.root()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(a.errs, "bramleyrock: "+strings.TrimSpace(err.Error()))
	return exitStatus(err)
}

// root returns the root command with all others.
func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:           "bramleyrock",
		Short:         "Manage the capacity and maintenance of a fleet of hosts",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetIn(a.in)
	root.SetOut(a.out)
	root.SetErr(a.errs)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(a.commands()...)
	return root
}

// command returns a command. Setup adds its settings and returns its action,
// which runs after the settings were checked.
func (a *app) command(c *cobra.Command, setup func(s *conf.Set) action) *cobra.Command {
	set := conf.NewSet(c.Flags())
	act := setup(set)
	positional := c.Args
	c.Args = func(c *cobra.Command, args []string) error {
		if err := positional(c, args); err != nil {
			return usageError{fmt.Errorf("%w; usage: %s", err, c.UseLine())}
		}
		return nil
	}
	c.RunE = func(c *cobra.Command, args []string) error {
		if err := set.Load(a.environ); err != nil {
			return err
		}
		return act(c.Context(), args)
	}
	a.sets = append(a.sets, commandSet{command: c, set: set})
	return c
}
