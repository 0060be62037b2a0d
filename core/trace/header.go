package trace

import "fmt"

const (
	// format identifies the file format in the header.
	format = "bramleyrock_trace"
	// Version is the only version of the format that is written and read.
	Version = 1
)

// Header is the first line of a trace. It says what was recorded and how to record
// it again.
type Header struct {
	// Format is always "bramleyrock_trace".
	Format string `json:"format"`
	// Version is the version of the format.
	Version int `json:"version"`
	// Name says what was recorded.
	Name string `json:"name,omitempty"`
	// Command is the command that recorded the trace.
	Command string `json:"command,omitempty"`
	// Seed is the random seed of the recorded run.
	Seed uint64 `json:"seed,omitempty"`
	// Outcomes lists the names of the outcomes to check the trace against; none
	// means all.
	Outcomes []string `json:"outcomes,omitempty"`
}

// check returns an error if the format, the version or an outcome is not known.
func (h Header) check() error {
	if h.Format != format {
		return fmt.Errorf("format %q: want %q", h.Format, format)
	}
	if h.Version != Version {
		return fmt.Errorf("version %d: want %d", h.Version, Version)
	}
	_, err := Select(h.Outcomes...)
	return err
}
