package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxLineBytes is the greatest length of a line, in bytes.
const maxLineBytes = 1 << 20

// Reader reads a trace strictly. A line that is incomplete, has an unknown field or
// kind of event, or lacks a required field is an error. Every error names the line.
type Reader struct {
	lines  *bufio.Scanner
	line   int
	header Header
}

// NewReader reads the header and returns a reader for the events. It returns an
// error if there is no valid header.
func NewReader(r io.Reader) (*Reader, error) {
	t := &Reader{lines: bufio.NewScanner(r)}
	t.lines.Buffer(nil, maxLineBytes)
	data, err := t.next()
	if errors.Is(err, io.EOF) {
		return nil, errors.New("line 1: header is missing: the trace is empty")
	}
	if err != nil {
		return nil, err
	}
	if err := decode(data, &t.header); err != nil {
		return nil, t.fail(err)
	}
	if err := t.header.check(); err != nil {
		return nil, t.fail(err)
	}
	return t, nil
}

// Header returns the trace's header.
func (t *Reader) Header() Header { return t.header }

// Next returns the next event. After the last one it returns [io.EOF].
func (t *Reader) Next() (Event, error) {
	data, err := t.next()
	if err != nil {
		return Event{}, err
	}
	var e Event
	if err := decode(data, &e); err != nil {
		return Event{}, t.fail(err)
	}
	if err := e.Check(); err != nil {
		return Event{}, t.fail(err)
	}
	e.line = t.line
	return e, nil
}

// next returns the next line, or [io.EOF] after the last one.
func (t *Reader) next() ([]byte, error) {
	t.line++
	if t.lines.Scan() {
		return t.lines.Bytes(), nil
	}
	if err := t.lines.Err(); err != nil {
		return nil, t.fail(err)
	}
	return nil, io.EOF
}

// fail adds the line number to the error.
func (t *Reader) fail(err error) error { return fmt.Errorf("line %d: %w", t.line, err) }

// decode decodes data, which must be a single JSON value without unknown fields.
func decode(data []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value on the line")
	}
	return nil
}

// Read reads a whole trace. On an error it also returns what it read before.
func Read(r io.Reader) (Header, []Event, error) {
	t, err := NewReader(r)
	if err != nil {
		return Header{}, nil, err
	}
	var events []Event
	for {
		e, err := t.Next()
		if errors.Is(err, io.EOF) {
			return t.Header(), events, nil
		}
		if err != nil {
			return t.Header(), events, err
		}
		events = append(events, e)
	}
}
