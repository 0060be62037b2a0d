package door

import "time"

// The limits that hold when a Limits value leaves them zero.
const (
	defaultHeaderBytes = 16 << 10
	defaultConnections = 4096
	defaultReadTimeout = 10 * time.Second
)

// idleTimeout is how long a connection may wait for its next request.
const idleTimeout = 2 * time.Minute

// serverHeaderBytes is where reading of a header ends. It lies far above the
// limit of a door, so that a header between the two is answered with a problem.
const serverHeaderBytes = 1 << 20

// Limits bounds what a door takes. The zero value means the defaults.
type Limits struct {
	// MaxHeaderBytes is the greatest size of a request's header, in bytes.
	MaxHeaderBytes int
	// MaxConnections is the greatest number of open connections.
	MaxConnections int
	// ReadTimeout is the time in which a request must arrive whole.
	ReadTimeout time.Duration
}

// orDefaults returns l with defaults in place of zeros.
func (l Limits) orDefaults() Limits {
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = defaultHeaderBytes
	}
	if l.MaxConnections == 0 {
		l.MaxConnections = defaultConnections
	}
	if l.ReadTimeout == 0 {
		l.ReadTimeout = defaultReadTimeout
	}
	return l
}
