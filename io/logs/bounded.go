package logs

import (
	"context"
	"io"
	"sync/atomic"
)

// BoundedWriter is a writer that never blocks: lines wait in a queue of bounded
// length for a slower writer, and those that find it full are counted and
// dropped.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewBoundedWriter returns a writer with room for that many lines.
func NewBoundedWriter(lines int) *BoundedWriter {
	return &BoundedWriter{lines: make(chan []byte, lines)}
}

// Write implements [io.Writer]. It takes one line a call and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Copy writes the lines to w until ctx ends and none is left.
func (b *BoundedWriter) Copy(ctx context.Context, w io.Writer) error {
	for {
		select {
		case line := <-b.lines:
			if err := b.writeQueued(w, line); err != nil {
				return err
			}
		case <-ctx.Done():
			select {
			case line := <-b.lines:
				return b.writeQueued(w, line)
			default:
				return nil
			}
		}
	}
}

// maxWriteBytes bounds the bytes of a write, the size of a pipe's buffer.
const maxWriteBytes = 64 << 10

// writeQueued writes the line and those that wait, many in a write.
func (b *BoundedWriter) writeQueued(w io.Writer, line []byte) error {
	for {
		for len(line) < maxWriteBytes {
			select {
			case next := <-b.lines:
				line = append(line, next...)
				continue
			default:
			}
			break
		}
		if _, err := w.Write(line); err != nil {
			return err
		}
		select {
		case line = <-b.lines:
		default:
			return nil
		}
	}
}
