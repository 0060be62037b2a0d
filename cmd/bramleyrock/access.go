package main

import (
	"time"

	"bramleyrock/io/client"
	"bramleyrock/io/conf"
)

// access holds the settings with which a command reaches a door.
type access struct {
	base    *string
	token   *string
	timeout *time.Duration
}

// operatorAccess adds the settings for reaching an operator door.
func operatorAccess(s *conf.Set) access {
	return newAccess(s, s.URL("operator", "http://127.0.0.1:7020", "URL of an entry's operator door"))
}

// callerAccess adds the settings for reaching a caller door.
func callerAccess(s *conf.Set) access {
	return newAccess(s, s.URL("caller", "http://127.0.0.1:7010", "URL of an entry's caller door or of the balancer"))
}

func newAccess(s *conf.Set, base *string) access {
	return access{
		base:    base,
		token:   s.Token("token", "bearer token"),
		timeout: s.Duration("timeout", 30*time.Second, 10*time.Millisecond, time.Hour, "time to wait for an answer"),
	}
}

// client returns a client of the door.
func (x access) client() *client.Client {
	return client.New(client.Settings{BaseURL: *x.base, Token: *x.token, Timeout: *x.timeout})
}
