package calls

import (
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout is the default time limit to connect.
	dialTimeout = 2 * time.Second
	// idleConnTimeout is how long a connection may be idle before it is closed.
	idleConnTimeout = 60 * time.Second
	// keepAlive is the interval of TCP keep-alive probes.
	keepAlive = 15 * time.Second
	// maxIdleConns is the maximum number of idle connections to all addresses.
	maxIdleConns = 1024
	// defaultMaxConnsPerHost is the default of Limits.PerHost.
	defaultMaxConnsPerHost = 64
	// maxResponseHeaderBytes is the maximum size of a response header, in bytes.
	maxResponseHeaderBytes = 64 << 10
	// idleConnsDivisor sets how many of an address's connections may be idle:
	// one in four, and at least one.
	idleConnsDivisor = 4
)

// Limits limits the connections of a transport.
type Limits struct {
	// PerHost is the maximum number of connections to one address; 0 means 64.
	// A request waits while all of them are in use.
	PerHost int
	// DisableKeepAlives makes each request use a new connection.
	DisableKeepAlives bool
	// DialTimeout is the time limit to connect; 0 means 2 s.
	DialTimeout time.Duration
}

// NewTransport returns a transport with the limits l that uses no proxy.
func NewTransport(l Limits) *http.Transport {
	if l.PerHost == 0 {
		l.PerHost = defaultMaxConnsPerHost
	}
	if l.DialTimeout == 0 {
		l.DialTimeout = dialTimeout
	}
	dialer := &net.Dialer{Timeout: l.DialTimeout, KeepAlive: keepAlive}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxConnsPerHost:        l.PerHost,
		MaxIdleConnsPerHost:    max(1, l.PerHost/idleConnsDivisor),
		MaxIdleConns:           maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableKeepAlives:      l.DisableKeepAlives,
		DisableCompression:     true,
	}
}
