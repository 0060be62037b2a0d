package logs

import (
	"context"
	"io"
	"sync/atomic"
)

// BoundedWriter is a writer that never blocks. It queues lines for a slower writer,
// to which [BoundedWriter.Copy] writes them. While the queue is full, lines are
// dropped and counted. It is safe for concurrent use.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewBoundedWriter returns a writer that queues up to the given number of lines.
func NewBoundedWriter(lines int) *BoundedWriter {
	return &BoundedWriter{lines: make(chan []byte, lines)}
}

// Write implements [io.Writer]. It queues a copy of line, or drops it if the queue
// is full, and never returns an error. Each call must write one whole line.
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

// Copy writes the queued lines to w. After ctx ends, it writes those that are still
// queued and returns nil. It returns the first error of w.
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

// maxWriteBytes is the size from which no further line is added to a write. It is the
// default capacity of a pipe on Linux.
const maxWriteBytes = 64 << 10

// writeQueued writes the line and all queued ones, joining lines into larger writes.
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
