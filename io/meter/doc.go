// Package meter creates the program's root tally scope and the HTTP handler from
// which Prometheus scrapes its metrics.
//
// # Usage
//
//	m, err := meter.New(map[string]string{"entry": "a1"})
//	requests := m.Scope().SubScope("front").Counter("requests")
//	mux.Handle("GET /metrics", m.Handler())
//	defer m.Close()
package meter
