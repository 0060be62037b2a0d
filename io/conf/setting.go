package conf

import "strings"

// Setting is one setting: its names, its default and what is allowed.
type Setting struct {
	name        string
	usage       string
	allowed     string
	defaultText string
	secret      bool
	text        string
	parse       func(text string) error
}

// Name returns the flag's name without dashes.
func (t *Setting) Name() string { return t.name }

// Usage returns what the setting is for.
func (t *Setting) Usage() string { return t.usage }

// Allowed returns the values that are allowed, in words.
func (t *Setting) Allowed() string { return t.allowed }

// Default returns the default as text.
func (t *Setting) Default() string { return t.defaultText }

// Variable returns the name of the environment variable.
func (t *Setting) Variable() string { return VariableOf(t.name) }

// VariableOf returns the name of the environment variable of the flag.
func VariableOf(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
