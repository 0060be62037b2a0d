package logs

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// PartField is the field that names the part that wrote a line.
const PartField = "part"

const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w. The format is "text" or "json", the
// level one of "debug", "info", "warn" and "error".
func New(w io.Writer, format, level string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(w)
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("set up logs: %w", err)
	}
	l.SetLevel(parsed)
	switch format {
	case "text":
		l.SetFormatter(&lineFormatter{})
	case "json":
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeLayout, FieldMap: logrus.FieldMap{
			logrus.FieldKeyTime: "time", logrus.FieldKeyMsg: "message",
		}})
	default:
		return nil, fmt.Errorf("set up logs: unknown format %q: want text or json", format)
	}
	return l, nil
}

// Discard returns a logger that writes nothing.
func Discard() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
