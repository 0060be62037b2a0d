package main

import (
	"bramleyrock/io/conf"

	"github.com/spf13/cobra"
)

// commandSet is a command with its settings.
type commandSet struct {
	command *cobra.Command
	set     *conf.Set
}
