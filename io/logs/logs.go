package logs

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// PartField is the log field that names the component that wrote the line.
const PartField = "part"

const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to w. The format is "text" or "json", the level a
// logrus level such as "debug", "info", "warn" or "error". It returns an error for any
// other format or level.
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
