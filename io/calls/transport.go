package calls

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout            = 2 * time.Second
	idleConnTimeout        = 60 * time.Second
	keepAlive              = 15 * time.Second
	maxIdleConns           = 1024
	defaultMaxConnsPerHost = 64
	maxResponseHeaderBytes = 64 << 10
	idleConnsDivisor       = 4
)

// Limits bound the connections of a transport.
type Limits struct {
	// PerHost is the greatest number of connections to one address; 0 means
	// 64. A request waits for a free one.
	PerHost int
	// DisableKeepAlives is true if each request gets a new connection.
	DisableKeepAlives bool
	// DialTimeout bounds the time to connect; 0 means two seconds.
	DialTimeout time.Duration
}

// NewTransport returns a transport that uses no proxy and follows the limits.
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
