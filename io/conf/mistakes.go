package conf

import (
	"fmt"
	"strings"
)

// Mistakes is an error that lists all mistakes in the settings.
type Mistakes struct {
	lines []string
}

// Lines returns one line for each mistake.
func (m *Mistakes) Lines() []string { return m.lines }

// Error implements error.
func (m *Mistakes) Error() string {
	return fmt.Sprintf("%d mistakes in the settings:\n  %s", len(m.lines), strings.Join(m.lines, "\n  "))
}

// add adds a line for a setting whose text, from the given source, is not allowed.
// The text of a secret is not printed.
func (m *Mistakes) add(t *Setting, text, source string, err error) {
	value := fmt.Sprintf("%q", text)
	if t.secret {
		value = fmt.Sprintf("a secret of %d bytes", len(text))
	}
	line := fmt.Sprintf("--%s or %s: %s from %s: %v", t.name, t.Variable(), value, source, err)
	if t.allowed != "" {
		line += "; allowed: " + t.allowed
	}
	m.lines = append(m.lines, line)
}

func (m *Mistakes) addUnknown(variable string) {
	m.lines = append(m.lines, fmt.Sprintf("%s: unknown variable; names beginning with %s belong to this program", variable, Prefix))
}

// Require adds a mistake with the formatted text unless ok is true. It is meant for
// conditions that concern several settings.
func (m *Mistakes) Require(ok bool, format string, args ...any) {
	if !ok {
		m.lines = append(m.lines, fmt.Sprintf(format, args...))
	}
}

// Join puts the mistakes of err, which [Set.Load] returned, before those of m. It
// returns m, or nil if there are no mistakes. Any other non-nil err is returned
// unchanged.
func (m *Mistakes) Join(err error) error {
	if other, ok := err.(*Mistakes); ok {
		m.lines = append(other.lines, m.lines...)
		return m.orNil()
	}
	if err != nil {
		return err
	}
	return m.orNil()
}

// orNil returns m, or nil if it holds no mistakes.
func (m *Mistakes) orNil() error {
	if len(m.lines) == 0 {
		return nil
	}
	return m
}
