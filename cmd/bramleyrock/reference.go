package main

import (
	"context"
	"fmt"
	"strings"

	"bramleyrock/io/conf"

	"github.com/spf13/cobra"
)

func (a *app) settings() *cobra.Command {
	c := &cobra.Command{Use: "settings", Short: "Print the reference of all settings", Args: cobra.NoArgs}
	return a.command(c, func(*conf.Set) action {
		return func(context.Context, []string) error {
			_, err := fmt.Fprint(a.out, (&app{}).reference())
			return err
		}
	})
}

// reference returns the settings of all commands as a page of Markdown.
func (a *app) reference() string {
	a.root()
	var b strings.Builder
	b.WriteString(`# Settings

Every setting is a flag and an environment variable; the flag goes before the
variable, and the variable before the default. All mistakes are named at once,
and variables beginning with BRAMLEYROCK_ that no command knows are mistakes
too. "bramleyrock entry --check-settings" ends after checking. Secrets are better
given as variables, because flags can be seen in the list of processes.
`)
	for _, s := range a.sets {
		if len(s.set.Settings()) == 0 || s.command.Hidden || s.command.Parent() != nil && s.command.Parent().Hidden {
			continue
		}
		fmt.Fprintf(&b, "\n## %s\n\n%s.\n\n| flag | variable | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n", s.command.CommandPath(), s.command.Short)
		for _, t := range s.set.Settings() {
			b.WriteString(referenceRow(t))
		}
	}
	return b.String()
}

// referenceRow returns the row of one setting.
func referenceRow(t *conf.Setting) string {
	standard := t.Default()
	if standard == "" {
		standard = "none"
	}
	allowed := t.Allowed()
	if allowed == "" {
		allowed = "any text"
	}
	return fmt.Sprintf("| `--%s` | `%s` | %s | %s | %s |\n", t.Name(), t.Variable(), standard, allowed, t.Usage())
}
