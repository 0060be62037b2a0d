package conf

import "strings"

// Setting describes one setting: its flag and variable, its default and the values
// that are allowed.
type Setting struct {
	name        string
	usage       string
	allowed     string
	defaultText string
	// secret prevents the value from being printed.
	secret bool
	// text is the text of the flag, or the default if the flag is not given.
	text string
	// parse sets the value from the text. It returns an error if the text is not
	// allowed.
	parse func(text string) error
}

// Name returns the flag's name without dashes.
func (t *Setting) Name() string { return t.name }

// Usage returns a short description of the setting.
func (t *Setting) Usage() string { return t.usage }

// Allowed returns a description of the allowed values, such as "a duration from 1s
// to 1m0s", or "" if every text is allowed.
func (t *Setting) Allowed() string { return t.allowed }

// Default returns the default as text.
func (t *Setting) Default() string { return t.defaultText }

// Variable returns the name of the environment variable.
func (t *Setting) Variable() string { return VariableOf(t.name) }

// VariableOf returns the name of the environment variable of the flag.
func VariableOf(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
