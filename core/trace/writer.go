package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// Writer writes a trace. It is safe for concurrent use.
type Writer struct {
	mu  sync.Mutex
	out *json.Encoder
}

// NewWriter writes the header, whose format and version it fills in, and returns a
// writer for the events.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	h.Format, h.Version = format, Version
	if err := h.check(); err != nil {
		return nil, fmt.Errorf("write trace: header: %w", err)
	}
	t := &Writer{out: json.NewEncoder(w)}
	if err := t.out.Encode(h); err != nil {
		return nil, fmt.Errorf("write trace: %w", err)
	}
	return t, nil
}

// Write writes an event. If [Event.Check] rejects the event, it writes nothing and
// returns the error.
func (t *Writer) Write(e Event) error {
	if err := e.Check(); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.out.Encode(e); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}
