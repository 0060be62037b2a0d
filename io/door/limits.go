package door

import "time"

// The limits that hold when a Limits value leaves them zero.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxConnections = 4096
	defaultReadTimeout    = 10 * time.Second
)

// idleTimeout is how long a connection may wait for its next request.
const idleTimeout = 2 * time.Minute

// serverMaxHeaderBytes is where reading of a header ends. It lies far above the
// limit of a door, so that a header between the two is answered with a problem.
const serverMaxHeaderBytes = 1 << 20

// Limits bounds what a door takes. The zero value means the defaults.
type Limits struct {
	// MaxHeaderBytes is the greatest size of a request's header, in bytes.
	MaxHeaderBytes int
	// MaxConnections is the greatest number of open connections.
	MaxConnections int
	// ReadTimeout is the time in which a request must arrive whole.
	ReadTimeout time.Duration
}

// withDefaults returns l with defaults in place of zeros.
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
