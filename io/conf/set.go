package conf

import (
	"fmt"
	"strings"

	"github.com/spf13/pflag"
)

// Prefix begins the names of all environment variables of the program.
const Prefix = "BRAMLEYROCK_"

// Set is a set of settings of one command.
type Set struct {
	flags    *pflag.FlagSet
	settings []*Setting
}

// NewSet returns an empty set that registers its settings as flags.
func NewSet(flags *pflag.FlagSet) *Set { return &Set{flags: flags} }

// Settings returns the settings, in the order in which they were added.
func (s *Set) Settings() []*Setting { return s.settings }

// Load gives every setting its value from its flag, its variable in environ
// (lines of NAME=value) or its default. It returns a [*Mistakes] that names
// each value that is not allowed and each unknown variable of the program.
func (s *Set) Load(environ []string) error {
	variables := programVariables(environ)
	var found Mistakes
	for _, t := range s.settings {
		text, source := s.text(t, variables)
		if err := t.parse(text); err != nil {
			found.add(t, text, source, err)
		}
	}
	for _, name := range unknownVariables(variables) {
		found.addUnknown(name)
	}
	return found.orNil()
}

// text returns the text of the setting's value and where it comes from.
func (s *Set) text(t *Setting, variables map[string]string) (string, string) {
	if f := s.flags.Lookup(t.name); f != nil && f.Changed {
		return f.Value.String(), "--" + t.name
	}
	if text, ok := variables[t.Variable()]; ok {
		return text, t.Variable()
	}
	return t.defaultText, "default"
}

// programVariables returns the variables of environ that begin with [Prefix].
func programVariables(environ []string) map[string]string {
	variables := map[string]string{}
	for _, line := range environ {
		name, value, _ := strings.Cut(line, "=")
		if strings.HasPrefix(name, Prefix) {
			variables[name] = value
		}
	}
	return variables
}

// add registers a setting as a flag.
func (s *Set) add(t *Setting) {
	t.text = t.defaultText
	usage := t.usage
	if t.allowed != "" {
		usage += fmt.Sprintf(" (%s)", t.allowed)
	}
	s.flags.Var(&flagText{setting: t}, t.name, usage+" [$"+t.Variable()+"]")
	s.settings = append(s.settings, t)
	registerVariable(t.Variable())
}
