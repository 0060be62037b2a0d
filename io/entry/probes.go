package entry

import (
	"encoding/json"
	"net/http"
)

// Readiness states whether an entry accepts requests, and if not, why.
type Readiness struct {
	// Ready is true if the entry accepts requests.
	Ready bool `json:"ready"`
	// Missing lists the reasons why the entry is not ready.
	Missing []string `json:"missing,omitempty"`
	// Warnings lists faults that do not make the entry unready.
	Warnings []string `json:"warnings,omitempty"`
}

// Readiness returns whether the entry accepts requests.
func (e *Entry) Readiness() Readiness {
	var r Readiness
	if _, ok := e.books.Fleet(); !ok {
		r.Missing = append(r.Missing, "no configuration yet")
	} else if !e.books.Confirmed() {
		r.Warnings = append(r.Warnings, "unconfirmed: the platform has not confirmed the configuration in force")
	}
	if !e.placementAllowed.Load() {
		r.Warnings = append(r.Warnings, "unregistered: requests are served through other entries")
	}
	if e.leaving.Load() {
		r.Missing = append(r.Missing, "leaving")
	}
	r.Ready = len(r.Missing) == 0
	return r
}

// addProbes adds the liveness and readiness endpoints that the load balancer
// polls.
func (e *Entry) addProbes(mux *http.ServeMux) {
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, struct {
			Live bool `json:"live"`
		}{true})
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		r := e.Readiness()
		status := http.StatusOK
		if !r.Ready {
			status = http.StatusServiceUnavailable
		}
		writeJSON(w, status, r)
	})
}

// writeJSON writes a response with the status and v as its JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
