package conf

import (
	"fmt"
	"strings"

	"github.com/spf13/pflag"
)

// Prefix is the prefix of the names of the program's environment variables.
const Prefix = "BRAMLEYROCK_"

// Set is the set of settings of one command.
type Set struct {
	flags    *pflag.FlagSet
	settings []*Setting
}

// NewSet returns an empty set that registers its settings as flags.
func NewSet(flags *pflag.FlagSet) *Set { return &Set{flags: flags} }

// Settings returns the settings, in the order in which they were added.
func (s *Set) Settings() []*Setting { return s.settings }

// Load sets every setting from its flag, from its variable in environ (elements of
// the form NAME=value) or from its default. It returns a [*Mistakes] with a line
// for each value that is not allowed and for each unknown variable that begins
// with [Prefix].
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

// text returns the text of the setting's value and its source: the flag, the
// variable or "default".
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
	for _, variable := range environ {
		name, value, _ := strings.Cut(variable, "=")
		if strings.HasPrefix(name, Prefix) {
			variables[name] = value
		}
	}
	return variables
}

// add adds a setting to the set, registers its flag and makes its variable known.
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
