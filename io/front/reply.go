package front

import (
	"encoding/json"

	rock "bramleyrock"
)

// reply is the JSON form of an answer.
type reply struct {
	RequestID string          `json:"request_id"`
	Verdict   rock.Verdict    `json:"verdict"`
	Host      string          `json:"host"`
	Payload   json.RawMessage `json:"payload"`
}
