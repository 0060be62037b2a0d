package main

import "github.com/spf13/cobra"

// commands returns all commands below the root.
func (a *app) commands() []*cobra.Command {
	return []*cobra.Command{
		a.entry(),
		a.hosted(),
		a.trial(),
		a.get(),
		a.apply(),
		a.delete(),
		a.history(),
		a.audit(),
		a.status(),
		a.host(),
		a.wave(),
		a.call(),
		a.job(),
		a.replay(),
		a.chart(),
		a.experiment(),
		a.settings(),
		a.standIn(),
	}
}
