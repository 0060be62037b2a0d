package entry

import (
	"encoding/json"
	"net/http"
)

// Readiness says whether an entry takes requests, and if not, why.
type Readiness struct {
	// Ready is true if the entry takes requests.
	Ready bool `json:"ready"`
	// Missing says what keeps the entry from being ready.
	Missing []string `json:"missing,omitempty"`
	// Warnings say what is not as it should be, though the entry is ready.
	Warnings []string `json:"warnings,omitempty"`
}

// Readiness returns whether the entry takes requests.
func (e *Entry) Readiness() Readiness {
	var r Readiness
	if _, ok := e.books.Fleet(); !ok {
		r.Missing = append(r.Missing, "no configuration yet")
	} else if !e.books.Confirmed() {
		r.Warnings = append(r.Warnings, "unconfirmed: the platform has not confirmed the configuration in force")
	}
	if !e.placing.Load() {
		r.Warnings = append(r.Warnings, "unregistered: requests are served through other entries")
	}
	if e.leaving.Load() {
		r.Missing = append(r.Missing, "leaving")
	}
	r.Ready = len(r.Missing) == 0
	return r
}

// addProbes adds the pages by which the balancer sees whether the entry lives
// and is ready.
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

// writeJSON answers with v.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// The client is gone if this fails, and there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
