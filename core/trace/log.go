package trace

import (
	"io"
	"slices"
	"sync"
)

// Log collects events in memory. The zero value is empty and ready to use. A nil
// Log drops all events. Both are safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	events []Event
}

// Add appends the events.
func (l *Log) Add(events ...Event) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, events...)
}

// Events returns the events in order of time. Events with equal times keep the
// order in which they were added. Their line numbers are those of the lines that
// [Log.WriteTrace] writes.
func (l *Log) Events() []Event {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return setLines(sorted(l.events))
}

// WriteTrace writes the events as a trace with the header h, whose format and
// version are filled in. It stops at the first event that [Event.Check] rejects.
func (l *Log) WriteTrace(w io.Writer, h Header) error {
	t, err := NewWriter(w, h)
	if err != nil {
		return err
	}
	for _, e := range l.Events() {
		if err := t.Write(e); err != nil {
			return err
		}
	}
	return nil
}

// sorted returns a copy of the events in order of time.
func sorted(events []Event) []Event {
	s := slices.Clone(events)
	slices.SortStableFunc(s, func(a, b Event) int { return a.At.Compare(b.At) })
	return s
}

// setLines sets the line numbers of the events, of which the first follows the
// header.
func setLines(events []Event) []Event {
	for i := range events {
		events[i].line = i + 2 // the header is line 1
	}
	return events
}
