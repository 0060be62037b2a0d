package rock

import "encoding/json"

// Answer is a target's complete answer to one request.
type Answer struct {
	requestID string
	host      string
	payload   json.RawMessage
}

// NewAnswer returns the answer of host to the request with that id.
func NewAnswer(requestID, host string, payload json.RawMessage) Answer {
	return Answer{requestID: requestID, host: host, payload: payload}
}

// RequestID returns the id of the request that is answered.
func (a Answer) RequestID() string { return a.requestID }

// Host returns the name of the host that ran the request.
func (a Answer) Host() string { return a.host }

// Payload returns the answer's JSON value. The caller must not change it.
func (a Answer) Payload() json.RawMessage { return a.payload }
