package door

import "time"

// The defaults of the fields of Limits.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxConnections = 4096
	defaultReadTimeout    = 10 * time.Second
)

// idleTimeout is how long a connection may be idle before it is closed.
const idleTimeout = 2 * time.Minute

// serverMaxHeaderBytes is the header size above which net/http refuses a request
// by itself. It is far above Limits.MaxHeaderBytes, so that a header between the
// two is answered with a problem body.
const serverMaxHeaderBytes = 1 << 20

// Limits holds the limits of a door; zero values mean the defaults.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request line and header, in bytes;
	// 16 KiB by default.
	MaxHeaderBytes int
	// MaxConnections is the maximum number of open connections; 4096 by default.
	MaxConnections int
	// ReadTimeout is the time within which a request's header must arrive, and
	// again its body; 10 s by default.
	ReadTimeout time.Duration
}

// withDefaults returns l with the defaults in place of zero values.
func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.MaxConnections == 0 {
		l.MaxConnections = defaultMaxConnections
	}
	if l.ReadTimeout == 0 {
		l.ReadTimeout = defaultReadTimeout
	}
	return l
}
