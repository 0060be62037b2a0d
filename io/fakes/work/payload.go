package work

import (
	"encoding/json"
	"time"
)

// Payload directs the work of a task. A payload of another form is echoed.
type Payload struct {
	// WorkMS is how long the task works, in milliseconds.
	WorkMS *int64 `json:"work_ms,omitempty"`
	// Echo is the value of the answer.
	Echo json.RawMessage `json:"echo,omitempty"`
	// Key is noted in the ledger, to join the runs of one request.
	Key string `json:"key,omitempty"`
	// Fail makes the task fail wherever it runs.
	Fail bool `json:"fail,omitempty"`
}

// parsePayload reads the directions in a payload.
func parsePayload(data json.RawMessage) Payload {
	var p Payload
	if json.Unmarshal(data, &p) != nil {
		p = Payload{}
	}
	if p.Echo == nil {
		p.Echo = data
	}
	return p
}

// length returns how long the task works.
func (p Payload) length(byDefault time.Duration) time.Duration {
	if p.WorkMS == nil {
		return byDefault
	}
	return time.Duration(*p.WorkMS) * time.Millisecond
}

// answer returns the task's answer.
func (p Payload) answer() json.RawMessage {
	data, err := json.Marshal(struct {
		Echo json.RawMessage `json:"echo"`
	}{p.Echo})
	if err != nil {
		return json.RawMessage(`{"echo":null}`)
	}
	return data
}
