// Package meter sets up the program's metrics: a tally scope and the page on
// which Prometheus reads it.
//
// # Usage
//
//	m, err := meter.New(map[string]string{"entry": "a1"})
//	requests := m.Scope().SubScope("front").Counter("requests")
//	mux.Handle("GET /metrics", m.Handler())
//	defer m.Close()
package meter
