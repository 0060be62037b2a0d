package front

import (
	"encoding/json"

	rock "bramleyrock"
)

// answerBody is the JSON body of the response with an answer.
type answerBody struct {
	RequestID string          `json:"request_id"`
	Verdict   rock.Verdict    `json:"verdict"`
	Host      string          `json:"host"`
	Payload   json.RawMessage `json:"payload"`
}
