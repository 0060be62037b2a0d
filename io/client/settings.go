package client

import "time"

// Settings configures a [Client].
type Settings struct {
	// BaseURL is the door's URL, such as "http://127.0.0.1:7010".
	BaseURL string
	// Token is the bearer token, or "" for none.
	Token string
	// Timeout bounds each call; zero means 30 s.
	Timeout time.Duration
}
