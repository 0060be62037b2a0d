package client

import (
	"encoding/json"

	rock "bramleyrock"
)

// Answer is the complete answer to a request.
type Answer struct {
	// RequestID is the id that the entry assigned to the request.
	RequestID string `json:"request_id"`
	// Verdict is always "ran".
	Verdict rock.Verdict `json:"verdict"`
	// Host is the host that ran the request.
	Host string `json:"host"`
	// Payload is the JSON value that the target returned.
	Payload json.RawMessage `json:"payload"`
}
