package plat

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"bramleyrock/io/calls"
)

const (
	defaultTimeout        = 3 * time.Second
	defaultMaxConnections = 32
)

// Settings are the parameters of a [Client].
type Settings struct {
	// BaseURL is the platform's URL, such as "http://127.0.0.1:7000".
	BaseURL string
	// Token is the bearer token, or "" for none.
	Token string
	// Timeout bounds each request; 0 means three seconds.
	Timeout time.Duration
	// Client sends the requests; nil means a client with at most 32
	// connections.
	Client *http.Client
}

// check returns the settings with defaults, or an error that names the first
// wrong value and what is allowed.
func (s Settings) check() (Settings, error) {
	u, err := url.Parse(s.BaseURL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return s, fmt.Errorf("platform address %q is not allowed: want http://HOST:PORT", s.BaseURL)
	}
	if s.Timeout < 0 {
		return s, fmt.Errorf("platform timeout %v is not allowed: want more than 0", s.Timeout)
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	if s.Client == nil {
		s.Client = &http.Client{Transport: calls.NewTransport(calls.Limits{PerHost: defaultMaxConnections})}
	}
	s.BaseURL = strings.TrimSuffix(s.BaseURL, "/") + "/"
	return s, nil
}
