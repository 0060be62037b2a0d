package relay

import (
	"context"
	"errors"
	"io"
	"net"
)

// pieceSize is the greatest number of bytes that are handed on together.
const pieceSize = 32 << 10

// link is one connection through a relay.
type link struct {
	relay  *Relay
	ends   map[Direction]*net.TCPConn
	silent bool
	left   map[Direction]int
}

// close breaks the connection at both ends.
func (l *link) close() {
	for _, c := range l.ends {
		// Closing a closed connection is no matter.
		_ = c.Close()
	}
}

// pump hands bytes from one end on to the other until either is closed.
func (l *link) pump(ctx context.Context, d Direction, from, to *net.TCPConn) error {
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if n > 0 && !l.hand(ctx, d, to, piece[:n]) {
			l.close()
			return nil
		}
		if errors.Is(err, io.EOF) && l.relay.await(ctx, l, d) != Drop {
			// The other end may be closed already.
			_ = to.CloseWrite()
			return nil
		}
		if err != nil {
			l.close()
			return nil
		}
	}
}

// hand hands one piece on as the mode says, and reports whether the link goes
// on.
func (l *link) hand(ctx context.Context, d Direction, to *net.TCPConn, piece []byte) bool {
	mode := l.relay.await(ctx, l, d)
	if mode == Drop {
		return true
	}
	piece, last := l.relay.take(l, d, piece)
	times := 1
	if mode == Double {
		times = 2
	}
	for range times {
		if _, err := to.Write(piece); err != nil {
			return false
		}
	}
	return !last
}
