package client

import (
	"encoding/json"

	rock "bramleyrock"
)

// Answer is the whole answer to a request.
type Answer struct {
	// RequestID is the id that the entry gave to the request.
	RequestID string `json:"request_id"`
	// Verdict is always "ran".
	Verdict rock.Verdict `json:"verdict"`
	// Host is the host that ran the request.
	Host string `json:"host"`
	// Payload is the target's JSON value.
	Payload json.RawMessage `json:"payload"`
}
