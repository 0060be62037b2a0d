package main

import "github.com/spf13/cobra"

// commands returns all commands below the root.
func (a *app) commands() []*cobra.Command {
	return []*cobra.Command{
		a.entry(),
		a.get(),
		a.apply(),
		a.delete(),
		a.history(),
		a.audit(),
		a.call(),
		a.standIn(),
	}
}
