package trace

import "fmt"

const (
	// format names the files that hold traces.
	format = "bramleyrock_trace"
	// Version is the version of the format that is written and read.
	Version = 1
)

// Header is the first line of a trace: what was recorded, and how to record it
// again.
type Header struct {
	// Format is always "bramleyrock_trace".
	Format string `json:"format"`
	// Version is the version of the format.
	Version int `json:"version"`
	// Name says what was recorded.
	Name string `json:"name,omitempty"`
	// Command is the command that recorded the trace.
	Command string `json:"command,omitempty"`
	// Seed is the seed of the recorded run.
	Seed uint64 `json:"seed,omitempty"`
	// Outcomes names the outcomes that the trace is meant to be judged by;
	// none means all.
	Outcomes []string `json:"outcomes,omitempty"`
}

// check reports an error if the trace cannot be read by this program.
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
