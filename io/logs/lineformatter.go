package logs

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
)

// lineFormatter writes an entry as one line: time, level, prefix, message and
// the remaining fields in order of name.
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

// fieldNames returns the names of the fields other than the part, in order.
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

// quote returns s, quoted if it would not read as one word.
func quote(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"") || oneLine(s) != s {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// oneLine returns s with control characters escaped.
func oneLine(s string) string {
	if !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return s
	}
	quoted := fmt.Sprintf("%q", s)
	return quoted[1 : len(quoted)-1]
}
