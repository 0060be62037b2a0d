package logs

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
)

// lineFormatter formats a log entry as one line: time, level, part, message and the
// other fields sorted by name.
type lineFormatter struct{}

// Format implements [logrus.Formatter].
func (*lineFormatter) Format(e *logrus.Entry) ([]byte, error) {
	var b bytes.Buffer
	level := strings.ToUpper(e.Level.String())
	fmt.Fprintf(&b, "%s %s ", e.Time.UTC().Format(timeLayout), level)
	if part, ok := e.Data[PartField]; ok {
		fmt.Fprintf(&b, "%v: ", part)
	}
	b.WriteString(oneLine(e.Message))
	for _, name := range fieldNames(e.Data) {
		fmt.Fprintf(&b, " %s=%s", name, quote(fmt.Sprint(e.Data[name])))
	}
	b.WriteByte('\n')
	return b.Bytes(), nil
}

// fieldNames returns the sorted names of the fields other than [PartField].
func fieldNames(fields logrus.Fields) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if name != PartField {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// quote returns s, quoted if it is empty or contains spaces, equals signs, quotes or
// control characters.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"") || oneLine(s) != s {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// oneLine returns s, escaped as by %q without the quotes if it contains control
// characters, so that a message cannot start a new line.
func oneLine(s string) string {
	if !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return s
	}
	quoted := fmt.Sprintf("%q", s)
	return quoted[1 : len(quoted)-1]
}
