package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxLine is the greatest length of a line, in bytes.
const maxLine = 1 << 20

// Reader reads a trace strictly: a line that is not whole, has an unknown field
// or event, or lacks a field is an error that names the line.
type Reader struct {
	lines  *bufio.Scanner
	line   int
	header Header
}

// NewReader returns a reader that has read the header.
func NewReader(r io.Reader) (*Reader, error) {
	t := &Reader{lines: bufio.NewScanner(r)}
	t.lines.Buffer(nil, maxLine)
	data, err := t.next()
	if errors.Is(err, io.EOF) {
		return nil, errors.New("line 1: header is missing")
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

// Next returns the next event, or [io.EOF] after the last one.
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

// next returns the next line.
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

func (t *Reader) fail(err error) error { return fmt.Errorf("line %d: %w", t.line, err) }

// decode decodes one JSON value without unknown fields.
func decode(data []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one JSON value")
	}
	return nil
}

// Read reads a whole trace.
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
